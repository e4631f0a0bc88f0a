// Package settings holds what a daemon is told at its start. Settings come from
// one YAML file. Each has a default, a range and a unit in its name; a mistake
// is reported with its line and key, and all mistakes are reported together.
//
// A setting is documented where it is defined, in fields.go; the settings
// command and the page docs/SETTINGS.md are made from the comments there.
package settings

import (
	"cmp"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/document"
)

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := Parse(text)
	return settings, errors.Wrapf(err, "settings %s", path)
}

// Parse reads and checks settings; what the text does not name has its default.
// The error is document.Mistakes.
func Parse(text []byte) (Settings, error) {
	parsed, mistakes := document.Parse(text)
	if mistakes != nil {
		return Settings{}, mistakes
	}
	settings := Default()
	mistakes = parsed.Decode(&settings)
	for _, mistake := range settings.Check() {
		mistake.Line = parsed.Line(mistake.Key)
		mistakes = append(mistakes, mistake)
	}
	if len(mistakes) == 0 {
		return settings, nil
	}
	slices.SortStableFunc(mistakes, func(a, b document.Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return Settings{}, mistakes
}

// Check returns every value out of its range, in the order of the fields.
func (settings Settings) Check() document.Mistakes {
	check := &checker{}
	check.fields(reflect.ValueOf(settings), "")
	if settings.Peers.SilenceMillis <= settings.Peers.PingMillis {
		check.add("Peers.SilenceMillis", "must be above PingMillis")
	}
	if settings.Runtime.TickIntervalMillis >= settings.Ownership.PauseMillis {
		check.add("Ownership.PauseMillis", "must be above Runtime.TickIntervalMillis")
	}
	if settings.Platform.ListIntervalMillis >= settings.Ownership.ViewAgeMillis {
		check.add("Ownership.ViewAgeMillis", "must be above Platform.ListIntervalMillis")
	}
	if settings.Platform.ListIntervalMillis >= settings.Keys.ViewAgeMillis {
		check.add("Keys.ViewAgeMillis", "must be above Platform.ListIntervalMillis")
	}
	return check.mistakes
}

// checker holds values against their tags.
type checker struct {
	mistakes document.Mistakes
}

func (check *checker) add(key, text string) {
	check.mistakes = append(check.mistakes, document.Mistake{Key: key, Text: text})
}

func (check *checker) fields(of reflect.Value, prefix string) {
	for i := range of.NumField() {
		field := of.Type().Field(i)
		key := prefix + document.FieldKey(field)
		if field.Type.Kind() == reflect.Struct {
			check.fields(of.Field(i), key+".")
			continue
		}
		if text := wrong(of.Field(i), field.Tag); text != "" {
			check.add(key, text)
		}
	}
}

// wrong says what is wrong with a value; empty means nothing.
func wrong(value reflect.Value, tag reflect.StructTag) string {
	if words := tag.Get("oneof"); words != "" && !slices.Contains(strings.Fields(words), value.String()) {
		return strconv.Quote(value.String()) + ": want one of " + strings.Join(strings.Fields(words), ", ")
	}
	switch tag.Get("want") {
	case "text":
		if value.String() == "" {
			return "must not be empty"
		}
	case "address":
		if _, err := netip.ParseAddrPort(value.String()); err != nil {
			return strconv.Quote(value.String()) + ": want an IP number and port"
		}
	}
	if tag.Get("min") != "" && outOfRange(value, tag) {
		return "want " + tag.Get("min") + " to " + tag.Get("max")
	}
	return ""
}

func outOfRange(value reflect.Value, tag reflect.StructTag) bool {
	number := numberOf(value)
	return !(number >= mustNumber(tag.Get("min")) && number <= mustNumber(tag.Get("max")))
}

func numberOf(value reflect.Value) float64 {
	if value.CanInt() {
		return float64(value.Int())
	}
	return value.Float()
}

// mustNumber reads a bound of a tag; a bad one is a mistake in the program.
func mustNumber(text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("settings: bound of a tag: " + err.Error())
	}
	return number
}
