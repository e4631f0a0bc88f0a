package program_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/backend/engine"
	"teaselmoor/internal/backend/service"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/inner/link"
	"teaselmoor/internal/serve/callers"
	"teaselmoor/internal/serve/program"
)

// TestDefaultsAgree checks that the default settings and the default options of
// the components are the same, so that a default can't be changed in one place only.
func TestDefaultsAgree(t *testing.T) {
	options := program.OptionsFromSettings(settings.Default())
	require.Equal(t, node.DefaultOptions(), options.Node)
	require.Equal(t, engine.DefaultOptions(), options.Engines)
	require.Equal(t, service.DefaultOptions(), options.Services)
	require.Equal(t, link.DefaultTiming(), options.Timing)
	require.Equal(t, callers.DefaultOptions(), options.Callers)
}

// notSettings are the options that no setting changes: the start of the daemon,
// and the load policies that only replays vary.
var notSettings = map[string]bool{
	"Node.StartedAt": true, "Node.Incarnation": true,
	"Node.Loads.Interval":    true, // derived from the rate of a weight store that several regions share
	"Node.Loads.NeverRefuse": true, "Node.Loads.MostWaiters": true, "Node.Loads.ArrivalOrder": true,
}

// TestEveryOptionHasASetting changes every setting and checks that every option
// changes with them, apart from notSettings.
func TestEveryOptionHasASetting(t *testing.T) {
	changed := settings.Default()
	changeAll(reflect.ValueOf(&changed).Elem())
	before, after := map[string]any{}, map[string]any{}
	collectLeaves(reflect.ValueOf(program.OptionsFromSettings(settings.Default())), "", before)
	collectLeaves(reflect.ValueOf(program.OptionsFromSettings(changed)), "", after)
	for name, value := range before {
		if !notSettings[name] {
			require.NotEqual(t, value, after[name], "no setting changes %s", name)
		}
	}
}

// changeAll changes every field of a struct.
func changeAll(value reflect.Value) {
	for i := range value.NumField() {
		switch field := value.Field(i); field.Kind() {
		case reflect.Struct:
			changeAll(field)
		case reflect.Int, reflect.Int64:
			field.SetInt(field.Int() + 1)
		case reflect.Float64:
			field.SetFloat(field.Float() + 1)
		case reflect.Bool:
			field.SetBool(!field.Bool())
		case reflect.String:
			field.SetString(field.String() + "x")
		}
	}
}

// collectLeaves stores the values of all fields and array elements that are not
// structs, functions or interfaces in values, by their path.
func collectLeaves(value reflect.Value, path string, values map[string]any) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			collectLeaves(value.Field(i), strings.TrimPrefix(path+"."+value.Type().Field(i).Name, "."), values)
		}
	case reflect.Array:
		for i := range value.Len() {
			collectLeaves(value.Index(i), fmt.Sprintf("%s[%d]", path, i), values)
		}
	case reflect.Func, reflect.Interface:
	default:
		values[path] = value.Interface()
	}
}
