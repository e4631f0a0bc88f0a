// Package document decodes YAML documents strictly: unknown and duplicate keys and values
// of a wrong type are mistakes. All mistakes are reported together, each with its line and
// key, in the order of the document.
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
	// Line counts from 1. It is 0 if the line is not known.
	Line int
	// Key is the path of the field, for example Rules[2].Callers.
	Key string
	// Text describes the mistake.
	Text string
}

// String formats the mistake as its line, key and text, without those that are not known.
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

// Mistakes is the error that lists all mistakes in a document.
type Mistakes []Mistake

// Error returns the mistakes, one per line.
func (mistakes Mistakes) Error() string {
	lines := make([]string, 0, len(mistakes))
	for _, mistake := range mistakes {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed document that keeps the line numbers of its keys.
type Document struct {
	root *yaml.Node // nil when the document is empty
}

var syntaxErrorLine = regexp.MustCompile(`^yaml: line (\d+): `)

// Parse parses the YAML syntax. It is a mistake if the text has more than one document.
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
	found := syntaxErrorLine.FindStringSubmatch(text)
	if found == nil {
		return Mistake{Text: strings.TrimPrefix(text, "yaml: ")}
	}
	line, _ := strconv.Atoi(found[1])
	return Mistake{Line: line, Text: text[len(found[0]):]}
}

// Decode stores the document in the struct that into points to. Fields whose keys are not
// in the document keep their values.
func (document *Document) Decode(into any) Mistakes {
	if document.root == nil {
		return nil
	}
	walker := &walker{}
	walker.decode(document.root, reflect.ValueOf(into).Elem(), "")
	return walker.mistakes
}

// Decode parses a document and stores it in the struct that into points to. See
// Document.Decode.
func Decode(text []byte, into any) Mistakes {
	document, mistakes := Parse(text)
	if mistakes != nil {
		return mistakes
	}
	return document.Decode(into)
}

// walker decodes a tree of nodes and collects the mistakes in it.
type walker struct {
	mistakes Mistakes
}

func (walker *walker) add(node *yaml.Node, key, format string, arguments ...any) {
	walker.mistakes = append(walker.mistakes, Mistake{Line: node.Line, Key: key, Text: fmt.Sprintf(format, arguments...)})
}

func (walker *walker) decode(node *yaml.Node, into reflect.Value, key string) {
	switch into.Kind() {
	case reflect.Struct:
		walker.decodeStruct(node, into, key)
	case reflect.Slice:
		walker.decodeList(node, into, key)
	default:
		walker.decodeLeaf(node, into, key)
	}
}

func (walker *walker) decodeStruct(node *yaml.Node, into reflect.Value, key string) {
	if node.Kind != yaml.MappingNode {
		walker.add(node, key, "want keys and values")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		path := joinPath(key, name.Value)
		field, known := fieldByKey(into, name.Value)
		switch {
		case !known:
			walker.add(name, path, "unknown key")
		case seen[name.Value] > 0:
			walker.add(name, path, "given before, on line %d", seen[name.Value])
		default:
			seen[name.Value] = name.Line
			walker.decode(value, field, path)
		}
	}
}

func (walker *walker) decodeList(node *yaml.Node, into reflect.Value, key string) {
	if node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.SequenceNode {
		walker.add(node, key, "want a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		walker.decode(item, list.Index(i), fmt.Sprintf("%s[%d]", key, i))
	}
	into.Set(list)
}

// typeErrorText matches the message of the YAML package for a value of a wrong type.
var typeErrorText = regexp.MustCompile("^line \\d+: cannot unmarshal \\S+ (`[^`]*` )?into .*$")

// decodeLeaf decodes a scalar or a map of strings.
func (walker *walker) decodeLeaf(node *yaml.Node, into reflect.Value, key string) {
	err := node.Decode(into.Addr().Interface())
	if err == nil {
		return
	}
	var wrongType *yaml.TypeError
	if errors.As(err, &wrongType) && typeErrorText.MatchString(wrongType.Errors[0]) {
		walker.add(node, key, "%q: want %s", node.Value, kindName(into.Kind()))
		return
	}
	walker.add(node, key, "%v", err)
}

// kindName returns the description of a Go kind in mistakes.
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

func joinPath(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// fieldByKey returns the field of a struct that has the given key in documents.
func fieldByKey(structure reflect.Value, key string) (reflect.Value, bool) {
	for i := range structure.NumField() {
		if FieldKey(structure.Type().Field(i)) == key {
			return structure.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// FieldKey returns the key of a struct field in documents: that of its yaml tag, or the
// field's name if it has none.
func FieldKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if key == "" {
		return field.Name
	}
	return key
}

var pathStep = regexp.MustCompile(`[^.\[\]]+`)

// Line returns the line of a key, or that of the innermost enclosing key or list item that
// is in the document. It returns 0 if the document is empty.
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

// child returns the value of a key or the item at an index, and its line.
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
