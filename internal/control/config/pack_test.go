package config_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
)

// largeConfig returns a configuration with the given numbers of adapters and
// engines. The size expected in two years is 15,000 adapters and 300 engines.
func largeConfig(adapters, engines int) config.Config {
	published := config.Config{
		Version:      7,
		WeightStores: []config.WeightStore{{Name: "weights", LoadsPerSecond: 2}},
		Callers:      []config.Caller{{Name: "clerk", KeyHash: config.HashKey("key")}},
		Rules:        []config.Rule{{Name: "all", Class: "Urgent", DeadlineMillis: 20_000, Repeatable: true}},
	}
	for i := range engines {
		published.Engines = append(published.Engines, config.Engine{
			Name: ident.EngineID(fmt.Sprintf("engine-%04d", i)), Address: "127.0.0.1:1", DataCentre: "a", Region: "north",
			BaseModel: fmt.Sprintf("base-%d", i%5), Store: "weights", Slots: 4, MaxRuns: 8,
		})
	}
	for i := range adapters {
		published.Adapters = append(published.Adapters, config.Adapter{
			Name: fmt.Sprintf("employer-%05d", i), Version: "3", BaseModel: fmt.Sprintf("base-%d", i%5),
			Labels: map[string]string{"task": "review", "employer": fmt.Sprintf("employer-%05d", i)},
		})
	}
	return published
}

// packed packs a document and returns its manifest, and its parts by name.
func packed(t testing.TB, published config.Config) (config.Manifest, map[string][]byte) {
	t.Helper()
	manifest, parts, err := config.Pack(published)
	require.NoError(t, err)
	byName := map[string][]byte{}
	for _, part := range parts {
		byName[part.Name] = part.Body
	}
	return manifest, byName
}

func TestPackAndAssemble(t *testing.T) {
	published := largeConfig(15_000, 300)
	manifest, parts := packed(t, published)
	for name, body := range parts {
		require.LessOrEqual(t, len(body), config.MaxPartBytes, name)
	}
	text, err := config.FormatManifest(manifest)
	require.NoError(t, err)
	require.LessOrEqual(t, len(text), config.MaxPartBytes)
	read, err := config.ParseManifest(text)
	require.NoError(t, err)
	assembled, err := config.Assemble(read, parts)
	require.NoError(t, err)
	require.Equal(t, published, assembled)
}

// TestSmallChangeAltersOnePart checks that a change to one adapter alters one
// part, so that daemons fetch only that part.
func TestSmallChangeAltersOnePart(t *testing.T) {
	published := largeConfig(3_000, 100)
	_, before := packed(t, published)
	published.Version++
	published.Adapters = slices.Clone(published.Adapters)
	published.Adapters[77].Labels = map[string]string{"task": "quote"}
	_, after := packed(t, published)
	changed := 0
	for name := range after {
		if before[name] == nil {
			changed++
		}
	}
	require.Equal(t, 1, changed)
}

// TestAssembleRefusesInvalidVersion checks that a version is refused as a whole if a part is
// missing or altered, or if its manifest is invalid.
func TestAssembleRefusesInvalidVersion(t *testing.T) {
	manifest, parts := packed(t, largeConfig(10, 5))
	first := manifest.Parts[0].Name
	tests := map[string]struct {
		corrupt func(manifest *config.Manifest, parts map[string][]byte)
		cause   string
	}{
		"part missing":   {func(_ *config.Manifest, parts map[string][]byte) { delete(parts, first) }, "is missing"},
		"part truncated": {func(_ *config.Manifest, parts map[string][]byte) { parts[first] = parts[first][1:] }, "bytes, the manifest says"},
		"part with other content": {func(_ *config.Manifest, parts map[string][]byte) {
			parts[first] = []byte(strings.ToUpper(string(parts[first])))
		}, "its hash is not"},
		"no version": {func(manifest *config.Manifest, _ map[string][]byte) { manifest.Version = 0 }, "Version: must be above 0"},
		"part twice": {func(manifest *config.Manifest, _ map[string][]byte) {
			manifest.Parts = append(manifest.Parts, manifest.Parts[0])
		}, "named twice"},
		"part too large": {func(manifest *config.Manifest, _ map[string][]byte) { manifest.Parts[0].Size = config.MaxPartBytes + 1 }, "at most"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			corrupted := config.Manifest{Version: manifest.Version, Parts: slices.Clone(manifest.Parts)}
			partsLeft := map[string][]byte{}
			for name, body := range parts {
				partsLeft[name] = body
			}
			test.corrupt(&corrupted, partsLeft)
			_, err := config.Assemble(corrupted, partsLeft)
			require.ErrorContains(t, err, test.cause)
		})
	}
}

// FuzzAssemble passes arbitrary text as manifest and part. Text that parses must
// pack and assemble again, and nothing may panic.
func FuzzAssemble(f *testing.F) {
	manifest, parts, err := config.Pack(largeConfig(3, 2))
	require.NoError(f, err)
	text, err := config.FormatManifest(manifest)
	require.NoError(f, err)
	f.Add(text, parts[0].Body)
	f.Add([]byte("Version: 1"), []byte("Rules: [{Name: a}]"))
	f.Fuzz(func(t *testing.T, manifestText, body []byte) {
		if read, err := config.ParseManifest(manifestText); err == nil {
			_, _ = config.Assemble(read, map[string][]byte{read.Parts[0].Name: body})
		}
		parsed, err := config.Parse(body)
		if err != nil {
			return
		}
		_, _ = config.Compile(parsed)
		manifest, parts, err := config.Pack(parsed)
		if err != nil {
			return
		}
		byName := map[string][]byte{}
		for _, part := range parts {
			byName[part.Name] = part.Body
		}
		assembled, err := config.Assemble(manifest, byName)
		require.NoError(t, err)
		require.Len(t, assembled.Adapters, len(parsed.Adapters))
	})
}

func BenchmarkAssembleAndCompile(b *testing.B) {
	manifest, parts := packed(b, largeConfig(15_000, 300))
	b.ReportAllocs()
	for b.Loop() {
		assembled, err := config.Assemble(manifest, parts)
		require.NoError(b, err)
		_, err = config.Compile(assembled)
		require.NoError(b, err)
	}
}

// BenchmarkAssembleChangedVersion assembles and compiles a version in which one adapter
// has changed, with the parsed parts of the version before.
func BenchmarkAssembleChangedVersion(b *testing.B) {
	published := largeConfig(15_000, 300)
	manifest, parts := packed(b, published)
	_, parsedParts, err := config.AssembleFrom(nil, manifest, parts)
	require.NoError(b, err)
	published.Adapters = slices.Clone(published.Adapters)
	published.Adapters[77].Labels = map[string]string{"task": "quote"}
	manifest, parts = packed(b, published)
	b.ReportAllocs()
	for b.Loop() {
		assembled, _, err := config.AssembleFrom(parsedParts, manifest, parts)
		require.NoError(b, err)
		_, err = config.Compile(assembled)
		require.NoError(b, err)
	}
}

func BenchmarkCompile(b *testing.B) {
	published := largeConfig(15_000, 300)
	b.ReportAllocs()
	for b.Loop() {
		_, err := config.Compile(published)
		require.NoError(b, err)
	}
}

func BenchmarkDecideModel(b *testing.B) {
	published := largeConfig(15_000, 300)
	for i := range 30 {
		published.Rules = append([]config.Rule{{
			Name: fmt.Sprintf("rule-%d", i), Adapters: fmt.Sprintf("task=task-%d", i), Class: "Routine", DeadlineMillis: 1,
		}}, published.Rules...)
	}
	snapshot, err := config.Compile(published)
	require.NoError(b, err)
	caller, _ := snapshot.Caller("clerk")
	adapter, _ := snapshot.Adapter(published.Adapters[4711].Address())
	b.ReportAllocs()
	for b.Loop() {
		_, matched := snapshot.DecideModel(caller, adapter)
		if !matched {
			b.Fatal("no rule")
		}
	}
}
