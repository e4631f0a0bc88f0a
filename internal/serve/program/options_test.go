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

// TestDefaultsAgree holds the defaults of the settings against those of the
// parts that use them. A default that changes in one place changes in the other.
func TestDefaultsAgree(t *testing.T) {
	options := program.OptionsOf(settings.Default())
	require.Equal(t, node.DefaultOptions(), options.Node)
	require.Equal(t, engine.DefaultOptions(), options.Engines)
	require.Equal(t, service.DefaultOptions(), options.Services)
	require.Equal(t, link.DefaultTiming(), options.Timing)
	require.Equal(t, callers.DefaultOptions(), options.Callers)
}

// notSettings are options that are no limits: who the daemon is and when it
// started, and the policies that replays compare.
var notSettings = map[string]bool{
	"Node.StartedAt": true, "Node.Incarnation": true,
	"Node.Loads.Interval":    true, // from the rate of a store that several regions share
	"Node.Loads.NeverRefuse": true, "Node.Loads.MostWaiters": true, "Node.Loads.ArrivalOrder": true,
}

// TestEveryLimitIsASetting changes every setting and looks for options that
// stayed as they were.
func TestEveryLimitIsASetting(t *testing.T) {
	changed := settings.Default()
	changeAll(reflect.ValueOf(&changed).Elem())
	before, after := map[string]any{}, map[string]any{}
	leaves(reflect.ValueOf(program.OptionsOf(settings.Default())), "", before)
	leaves(reflect.ValueOf(program.OptionsOf(changed)), "", after)
	for name, value := range before {
		if !notSettings[name] {
			require.NotEqual(t, value, after[name], "%s cannot be set", name)
		}
	}
}

func changeAll(of reflect.Value) {
	for i := range of.NumField() {
		switch field := of.Field(i); field.Kind() {
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

// leaves lists the plain fields of a struct by path.
func leaves(of reflect.Value, path string, into map[string]any) {
	switch of.Kind() {
	case reflect.Struct:
		for i := range of.NumField() {
			leaves(of.Field(i), strings.TrimPrefix(path+"."+of.Type().Field(i).Name, "."), into)
		}
	case reflect.Array:
		for i := range of.Len() {
			leaves(of.Index(i), fmt.Sprintf("%s[%d]", path, i), into)
		}
	case reflect.Func, reflect.Interface:
	default:
		into[path] = of.Interface()
	}
}
