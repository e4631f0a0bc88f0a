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

// fieldsSource is the source code that defines and documents the settings.
//
//go:embed fields.go
var fieldsSource string

// Entry describes one setting, or a section of settings.
type Entry struct {
	// Key is the full path, for example Callers.MaxBodyBytes.
	Key     string
	Section bool
	// Default is empty for a setting that must be set.
	Default string
	// Allowed describes the allowed values.
	Allowed string
	Doc     string
}

// Describe returns all settings in the order of their definition.
func Describe() ([]Entry, error) {
	texts, err := readDocTexts()
	if err != nil {
		return nil, err
	}
	return describeFields(reflect.ValueOf(Default()), "", texts), nil
}

// docTexts are the doc comments in fields.go. The key is the name of a type, or Type.Field
// for a field.
type docTexts map[string]string

func readDocTexts() (docTexts, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "fields.go", fieldsSource, parser.ParseComments)
	if err != nil {
		return nil, errors.Wrap(err, "parse fields.go for the doc comments of the settings")
	}
	docTexts := docTexts{}
	for _, declaration := range file.Decls {
		general, isGeneral := declaration.(*ast.GenDecl)
		if !isGeneral || general.Tok != token.TYPE {
			continue
		}
		for _, spec := range general.Specs {
			docTexts.addType(spec.(*ast.TypeSpec), general.Doc)
		}
	}
	return docTexts, nil
}

func (docTexts docTexts) addType(spec *ast.TypeSpec, doc *ast.CommentGroup) {
	docTexts[spec.Name.Name] = oneLine(doc)
	structType, isStruct := spec.Type.(*ast.StructType)
	if !isStruct {
		return
	}
	for _, field := range structType.Fields.List {
		for _, name := range field.Names {
			docTexts[spec.Name.Name+"."+name.Name] = oneLine(field.Doc)
		}
	}
}

// oneLine joins the lines of a comment.
func oneLine(doc *ast.CommentGroup) string {
	return strings.Join(strings.Fields(doc.Text()), " ")
}

func describeFields(structure reflect.Value, prefix string, docTexts docTexts) []Entry {
	var entries []Entry
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		key := prefix + document.FieldKey(field)
		if field.Type.Kind() == reflect.Struct {
			doc := strings.TrimPrefix(docTexts[field.Type.Name()], field.Type.Name()+" ")
			entries = append(entries, Entry{Key: key, Section: true, Doc: upperFirst(doc)})
			entries = append(entries, describeFields(structure.Field(i), key+".", docTexts)...)
			continue
		}
		entries = append(entries, Entry{
			Key: key, Default: defaultOf(structure.Field(i), field.Tag), Allowed: allowedValues(field),
			Doc: docTexts[structure.Type().Name()+"."+field.Name],
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

func allowedValues(field reflect.StructField) string {
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
