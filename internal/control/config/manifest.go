package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Limits of a published configuration version.
const (
	// MaxPartBytes is the maximum size of a part: the size limit of a value in
	// the configuration service.
	MaxPartBytes = 1 << 20
	// MaxParts is the maximum number of parts in a manifest.
	MaxParts = 1024
)

// PartPrefix is the prefix of the name of every part. The rest of the name is
// the hash of the part, so that a publication never overwrites a part of
// another one.
const PartPrefix = "teaselmoor-part-"

// Manifest lists the parts of one configuration version. It is the value that
// daemons watch.
type Manifest struct {
	Version uint64         `yaml:"Version"`
	Parts   []ManifestPart `yaml:"Parts"`
}

// ManifestPart holds the name, size and hash of a part.
type ManifestPart struct {
	Name string `yaml:"Name"`
	Size int    `yaml:"Size"` // bytes
	// SHA256 is the hash of the part, in hexadecimal.
	SHA256 string `yaml:"SHA256"`
}

// Part is one fragment of the configuration document, published as a value of
// its own.
type Part struct {
	Name string
	Body []byte
}

// Mark identifies one publication of the configuration. Two operators may
// publish the same version number at the same time; all daemons then accept the
// publication whose manifest has the higher hash.
type Mark struct {
	Version uint64
	// Digest is the hash of the manifest as published, in hexadecimal.
	Digest string
}

// Compare orders publications by version, then by digest.
func (mark Mark) Compare(other Mark) int {
	return cmp.Or(cmp.Compare(mark.Version, other.Version), strings.Compare(mark.Digest, other.Digest))
}

// ParseManifest parses a manifest and checks its fields.
func ParseManifest(text []byte) (Manifest, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var manifest Manifest
	if err := decoder.Decode(&manifest); err != nil {
		return Manifest{}, errors.Wrap(err, "parse manifest")
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return Manifest{}, errors.New("parse manifest: more than one YAML document")
	}
	return manifest, errors.Wrap(manifest.check(), "parse manifest")
}

// FormatManifest writes a manifest as YAML.
func FormatManifest(manifest Manifest) ([]byte, error) {
	text, err := yaml.Marshal(manifest)
	return text, errors.Wrap(err, "format manifest")
}

// MarkOf returns the mark of the manifest, given its text as published.
func MarkOf(manifest Manifest, text []byte) Mark {
	return Mark{Version: manifest.Version, Digest: hashOf(text)}
}

func (manifest Manifest) check() error {
	if manifest.Version == 0 {
		return errors.New("Version: must be above 0")
	}
	if len(manifest.Parts) == 0 || len(manifest.Parts) > MaxParts {
		return errors.Errorf("Parts: %d, want 1 to %d", len(manifest.Parts), MaxParts)
	}
	names := map[string]bool{}
	for i, part := range manifest.Parts {
		switch {
		case part.Name == "":
			return errors.Errorf("Parts[%d].Name: must not be empty", i)
		case names[part.Name]:
			return errors.Errorf("Parts[%d].Name: %q is named twice", i, part.Name)
		case part.Size < 0 || part.Size > MaxPartBytes:
			return errors.Errorf("Parts[%d].Size: %d bytes, at most %d", i, part.Size, MaxPartBytes)
		case len(part.SHA256) != hashDigits:
			return errors.Errorf("Parts[%d].SHA256: want %d hexadecimal digits", i, hashDigits)
		}
		names[part.Name] = true
	}
	return nil
}

// Verify checks the size and hash of the body of a part.
func (part ManifestPart) Verify(body []byte) error {
	if len(body) != part.Size {
		return errors.Errorf("part %s: %d bytes, the manifest says %d", part.Name, len(body), part.Size)
	}
	if hashOf(body) != part.SHA256 {
		return errors.Errorf("part %s: its hash is not the manifest's", part.Name)
	}
	return nil
}

func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
