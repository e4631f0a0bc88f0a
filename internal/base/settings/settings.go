// Package settings defines the settings that a daemon reads from a YAML file at its start.
// Settings have defaults and allowed values, and their names end in the unit where they
// have one. All mistakes in a file are reported together, each with its line and key.
//
// Settings are documented where they are defined, in fields.go. The settings command and
// the page docs/SETTINGS.md are generated from the comments there.
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

// Parse reads and checks settings. Settings that are not in the text have their defaults.
// An error is of type document.Mistakes.
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

// Check returns a mistake for each value that is not allowed, in the order of the fields,
// and then for each pair of values that contradict each other.
func (settings Settings) Check() document.Mistakes {
	checker := &checker{}
	checker.checkStruct(reflect.ValueOf(settings), "")
	if settings.Peers.SilenceMillis <= settings.Peers.PingMillis {
		checker.add("Peers.SilenceMillis", "must be above PingMillis")
	}
	if settings.Runtime.TickIntervalMillis >= settings.Ownership.PauseMillis {
		checker.add("Ownership.PauseMillis", "must be above Runtime.TickIntervalMillis")
	}
	if settings.Platform.ListIntervalMillis >= settings.Ownership.ViewAgeMillis {
		checker.add("Ownership.ViewAgeMillis", "must be above Platform.ListIntervalMillis")
	}
	if settings.Platform.ListIntervalMillis >= settings.Keys.ViewAgeMillis {
		checker.add("Keys.ViewAgeMillis", "must be above Platform.ListIntervalMillis")
	}
	return checker.mistakes
}

// checker compares values with the tags of their fields and collects the mistakes.
type checker struct {
	mistakes document.Mistakes
}

func (checker *checker) add(key, text string) {
	checker.mistakes = append(checker.mistakes, document.Mistake{Key: key, Text: text})
}

func (checker *checker) checkStruct(structure reflect.Value, prefix string) {
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		key := prefix + document.FieldKey(field)
		if field.Type.Kind() == reflect.Struct {
			checker.checkStruct(structure.Field(i), key+".")
			continue
		}
		if text := checkValue(structure.Field(i), field.Tag); text != "" {
			checker.add(key, text)
		}
	}
}

// checkValue returns what is wrong with a value, or an empty text if it is allowed.
func checkValue(value reflect.Value, tag reflect.StructTag) string {
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

// mustNumber parses a bound in a tag. It panics if the bound is not a number, which is a
// programming error.
func mustNumber(text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("settings: bound in a field tag is not a number: " + err.Error())
	}
	return number
}
