package config

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Parse reads a YAML document. Unknown keys and a second document are refused.
func Parse(text []byte) (Config, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var config Config
	if err := decoder.Decode(&config); err != nil {
		return Config{}, errors.Wrap(err, "parse configuration")
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return Config{}, errors.New("parse configuration: more than one YAML document")
	}
	return config, nil
}

// Format writes the document as YAML.
func Format(config Config) ([]byte, error) {
	text, err := yaml.Marshal(config)
	return text, errors.Wrap(err, "format configuration")
}
