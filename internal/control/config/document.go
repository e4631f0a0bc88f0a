package config

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"teaselmoor/internal/base/document"
)

// Parse reads a YAML document. It refuses unknown keys and a second document.
// If keys or values are wrong, the error is a Problems that lists each of them.
func Parse(text []byte) (Config, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var config Config
	if err := decoder.Decode(&config); err != nil {
		return Config{}, parseProblems(text, err)
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return Config{}, errors.New("parse configuration: more than one YAML document")
	}
	return config, nil
}

// parseProblems parses a document that the decoder refused again, with a slower
// parser that finds the line and key of every mistake. It returns the cause if
// that parser finds none.
func parseProblems(text []byte, cause error) error {
	var config Config
	mistakes := document.Decode(text, &config)
	if len(mistakes) == 0 {
		return errors.Wrap(cause, "parse configuration")
	}
	problems := make(Problems, 0, len(mistakes))
	for _, mistake := range mistakes {
		problems = append(problems, Problem{Line: mistake.Line, Path: mistake.Key, Text: mistake.Text})
	}
	return problems
}

// Locate returns the problems with the numbers of their lines in the document.
// It returns them unchanged if the document cannot be parsed.
func Locate(text []byte, problems Problems) Problems {
	parsed, mistakes := document.Parse(text)
	if mistakes != nil {
		return problems
	}
	located := make(Problems, 0, len(problems))
	for _, problem := range problems {
		problem.Line = parsed.Line(problem.Path)
		located = append(located, problem)
	}
	return located
}

// Format writes the document as YAML.
func Format(config Config) ([]byte, error) {
	text, err := yaml.Marshal(config)
	return text, errors.Wrap(err, "format configuration")
}
