// Package document reads YAML documents strictly: an unknown or doubled key and
// a value of the wrong type are mistakes, and all of them are reported together,
// each with its line and key, in the order of the document.
package document

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Mistake is one error in a document.
type Mistake struct {
	// Line counts from 1; 0 when the mistake has no line.
	Line int
	// Key is the path of the field, for example Rules[2].Callers.
	Key  string
	Text string
}

// String formats the mistake as line, key and text.
func (mistake Mistake) String() string {
	var parts []string
	if mistake.Line > 0 {
		parts = append(parts, "line "+strconv.Itoa(mistake.Line))
	}
	if mistake.Key != "" {
		parts = append(parts, mistake.Key)
	}
	return strings.Join(append(parts, mistake.Text), ": ")
}

// Mistakes lists every mistake of a document. It is an error.
type Mistakes []Mistake

// Error joins the mistakes, a line each.
func (mistakes Mistakes) Error() string {
	lines := make([]string, 0, len(mistakes))
	for _, mistake := range mistakes {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed document that still knows its lines.
type Document struct {
	root *yaml.Node // nil when the document is empty
}

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

// Parse reads the syntax of one document.
func Parse(text []byte) (*Document, Mistakes) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var parsed yaml.Node
	if err := decoder.Decode(&parsed); err != nil {
		if strings.TrimSpace(string(text)) == "" || err.Error() == "EOF" {
			return &Document{}, nil
		}
		return nil, Mistakes{syntaxMistake(err)}
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); err == nil {
		return nil, Mistakes{{Line: extra.Line, Text: "more than one YAML document"}}
	}
	return &Document{root: parsed.Content[0]}, nil
}

func syntaxMistake(err error) Mistake {
	text := err.Error()
	found := syntaxLine.FindStringSubmatch(text)
	if found == nil {
		return Mistake{Text: strings.TrimPrefix(text, "yaml: ")}
	}
	line, _ := strconv.Atoi(found[1])
	return Mistake{Line: line, Text: text[len(found[0]):]}
}

// Decode stores the document in the struct that into points to. Fields that the
// document does not name keep their values.
func (document *Document) Decode(into any) Mistakes {
	if document.root == nil {
		return nil
	}
	walk := &walker{}
	walk.value(document.root, reflect.ValueOf(into).Elem(), "")
	return walk.mistakes
}

// Decode parses a document and stores it in the struct that into points to.
func Decode(text []byte, into any) Mistakes {
	document, mistakes := Parse(text)
	if mistakes != nil {
		return mistakes
	}
	return document.Decode(into)
}

// walker decodes a tree of nodes and collects what is wrong with it.
type walker struct {
	mistakes Mistakes
}

func (walk *walker) add(node *yaml.Node, key, format string, arguments ...any) {
	walk.mistakes = append(walk.mistakes, Mistake{Line: node.Line, Key: key, Text: fmt.Sprintf(format, arguments...)})
}

func (walk *walker) value(node *yaml.Node, into reflect.Value, key string) {
	switch into.Kind() {
	case reflect.Struct:
		walk.fields(node, into, key)
	case reflect.Slice:
		walk.items(node, into, key)
	default:
		walk.leaf(node, into, key)
	}
}

func (walk *walker) fields(node *yaml.Node, into reflect.Value, key string) {
	if node.Kind != yaml.MappingNode {
		walk.add(node, key, "want keys and values")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		path := join(key, name.Value)
		field, known := fieldNamed(into, name.Value)
		switch {
		case !known:
			walk.add(name, path, "unknown key")
		case seen[name.Value] > 0:
			walk.add(name, path, "given before, on line %d", seen[name.Value])
		default:
			seen[name.Value] = name.Line
			walk.value(value, field, path)
		}
	}
}

func (walk *walker) items(node *yaml.Node, into reflect.Value, key string) {
	if node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.SequenceNode {
		walk.add(node, key, "want a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		walk.value(item, list.Index(i), fmt.Sprintf("%s[%d]", key, i))
	}
	into.Set(list)
}

var typeNoise = regexp.MustCompile("^line \\d+: cannot unmarshal \\S+ (`[^`]*` )?into .*$")

func (walk *walker) leaf(node *yaml.Node, into reflect.Value, key string) {
	err := node.Decode(into.Addr().Interface())
	if err == nil {
		return
	}
	var wrongType *yaml.TypeError
	if errors.As(err, &wrongType) && typeNoise.MatchString(wrongType.Errors[0]) {
		walk.add(node, key, "%q: want %s", node.Value, kindName(into.Kind()))
		return
	}
	walk.add(node, key, "%v", err)
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number from 0"
	case reflect.Float64:
		return "a number"
	case reflect.Map:
		return "keys and values that are text"
	}
	return "text"
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// fieldNamed finds a field by its key in the document.
func fieldNamed(of reflect.Value, name string) (reflect.Value, bool) {
	for i := range of.NumField() {
		if FieldKey(of.Type().Field(i)) == name {
			return of.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// FieldKey returns the key of a struct's field in documents: its tag's, or else
// its name.
func FieldKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if key == "" {
		return field.Name
	}
	return key
}

var pathStep = regexp.MustCompile(`[^.\[\]]+`)

// Line returns the line of a key, or of the nearest thing around it that the
// document has.
func (document *Document) Line(key string) int {
	if document.root == nil {
		return 0
	}
	node, line := document.root, document.root.Line
	for _, step := range pathStep.FindAllString(key, -1) {
		next, nextLine, found := child(node, step)
		if !found {
			break
		}
		node, line = next, nextLine
	}
	return line
}

func child(node *yaml.Node, step string) (*yaml.Node, int, bool) {
	if node.Kind == yaml.SequenceNode {
		index, err := strconv.Atoi(step)
		if err != nil || index >= len(node.Content) {
			return nil, 0, false
		}
		return node.Content[index], node.Content[index].Line, true
	}
	if node.Kind != yaml.MappingNode {
		return nil, 0, false
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == step {
			return node.Content[i+1], node.Content[i].Line, true
		}
	}
	return nil, 0, false
}
