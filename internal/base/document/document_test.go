package document_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/document"
)

type engine struct {
	Name   string            `yaml:"Name"`
	Slots  int               `yaml:"Slots"`
	Labels map[string]string `yaml:"Labels,omitempty"`
}

type site struct {
	Engines []engine `yaml:"Engines"`
	Open    bool     `yaml:"Open"`
}

func TestDecode(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"complete", "Engines:\n- Name: a\n  Slots: 2\n  Labels: {Zone: x}\nOpen: true\n", ""},
		{"empty", "", ""},
		{"unknown keys", "Engine: 1\nEngines:\n- Nam: a\n", "line 1: Engine: unknown key\nline 3: Engines[0].Nam: unknown key"},
		{"wrong types", "Engines:\n- Slots: many\nOpen: 3\n", "line 2: Engines[0].Slots: \"many\": want a whole number\nline 3: Open: \"3\": want true or false"},
		{"duplicate key", "Open: true\nOpen: false\n", "line 2: Open: given before, on line 1"},
		{"not a list", "Engines: 3\n", "line 1: Engines: want a list"},
		{"not a mapping", "Engines: [3]\n", "line 1: Engines[0]: want keys and values"},
		{"two documents", "Open: true\n---\nOpen: true\n", "line 2: more than one YAML document"},
		{"syntax", "Open: true\n  Engines: [\n", "line 2: mapping values are not allowed in this context"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			var into site
			require.Equal(t, each.want, document.Decode([]byte(each.text), &into).Error())
		})
	}
}

func TestLine(t *testing.T) {
	parsed, mistakes := document.Parse([]byte("Open: true\nEngines:\n- Name: a\n- Name: b\n  Slots: 1\n"))
	require.Empty(t, mistakes)
	require.Equal(t, 5, parsed.Line("Engines[1].Slots"))
	require.Equal(t, 4, parsed.Line("Engines[1].Labels"), "the line of the enclosing item if the key is missing")
	require.Equal(t, 1, parsed.Line("Rules[3].Name"))
}

// FuzzDecode checks that no input makes Decode panic or return a mistake without a text.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"Open: true", "null", "- 1", "&a [*a]", "Engines: &x [{Name: a}]\nOpen: *x", "? {a: b}\n: c", "<<: {Open: true}", "\x00", "Open: !!binary x"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var into site
		for _, mistake := range document.Decode(text, &into) {
			require.NotEmpty(t, mistake.Text)
		}
	})
}
