package settings

import (
	_ "embed"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/document"
)

// source is where the settings are defined and documented.
//
//go:embed fields.go
var source string

// Entry describes one setting, or a section of settings.
type Entry struct {
	// Key is the full path, for example Callers.MaxBodyBytes.
	Key     string
	Section bool
	// Default is empty for a setting that must be given.
	Default string
	// Allowed states the values allowed.
	Allowed string
	Doc     string
}

// Describe lists all settings in the order of their definition.
func Describe() ([]Entry, error) {
	comments, err := readComments()
	if err != nil {
		return nil, err
	}
	return describeFields(reflect.ValueOf(Default()), "", comments), nil
}

// comments holds doc texts: of a type by its name, of a field by Type.Field.
type comments map[string]string

func readComments() (comments, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "fields.go", source, parser.ParseComments)
	if err != nil {
		return nil, errors.Wrap(err, "read the comments of the settings")
	}
	found := comments{}
	for _, declaration := range file.Decls {
		general, isGeneral := declaration.(*ast.GenDecl)
		if !isGeneral || general.Tok != token.TYPE {
			continue
		}
		for _, spec := range general.Specs {
			found.addType(spec.(*ast.TypeSpec), general.Doc)
		}
	}
	return found, nil
}

func (found comments) addType(spec *ast.TypeSpec, doc *ast.CommentGroup) {
	found[spec.Name.Name] = oneLine(doc)
	structure, isStruct := spec.Type.(*ast.StructType)
	if !isStruct {
		return
	}
	for _, field := range structure.Fields.List {
		for _, name := range field.Names {
			found[spec.Name.Name+"."+name.Name] = oneLine(field.Doc)
		}
	}
}

func oneLine(doc *ast.CommentGroup) string {
	return strings.Join(strings.Fields(doc.Text()), " ")
}

func describeFields(of reflect.Value, prefix string, found comments) []Entry {
	var entries []Entry
	for i := range of.NumField() {
		field := of.Type().Field(i)
		key := prefix + document.FieldKey(field)
		if field.Type.Kind() == reflect.Struct {
			doc := strings.TrimPrefix(found[field.Type.Name()], field.Type.Name()+" ")
			entries = append(entries, Entry{Key: key, Section: true, Doc: upperFirst(doc)})
			entries = append(entries, describeFields(of.Field(i), key+".", found)...)
			continue
		}
		entries = append(entries, Entry{
			Key: key, Default: defaultOf(of.Field(i), field.Tag), Allowed: allowed(field),
			Doc: found[of.Type().Name()+"."+field.Name],
		})
	}
	return entries
}

func upperFirst(text string) string {
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + text[1:]
}

func defaultOf(value reflect.Value, tag reflect.StructTag) string {
	if tag.Get("want") != "" {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

func allowed(field reflect.StructField) string {
	switch {
	case field.Tag.Get("oneof") != "":
		return strings.Join(strings.Fields(field.Tag.Get("oneof")), ", ")
	case field.Tag.Get("min") != "":
		return field.Tag.Get("min") + " to " + field.Tag.Get("max")
	case field.Tag.Get("want") == "address":
		return "IP:port"
	case field.Type.Kind() == reflect.Bool:
		return "true, false"
	}
	return field.Tag.Get("want")
}
