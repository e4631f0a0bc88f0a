package config

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// targetPartBytes is the upper limit of the average part size. If one adapter
// changes, daemons fetch one part: small parts make changes cheap, but many
// parts make the manifest long.
const targetPartBytes = 64 << 10

// Pack splits a document into a manifest and parts. Engines, callers and
// adapters are each distributed over parts by the hash of their names, so that a
// small change alters few parts. The number of parts for each is a power of two.
// The order of engines, callers and adapters has no meaning and is not kept. The
// parts must be published before the manifest.
func Pack(config Config) (Manifest, []Part, error) {
	manifest := Manifest{Version: config.Version}
	var parts []Part
	fragments, err := splitDocument(config)
	if err != nil {
		return Manifest{}, nil, errors.Wrap(err, "pack configuration")
	}
	for _, fragment := range fragments {
		body, err := Format(fragment)
		if err != nil {
			return Manifest{}, nil, errors.Wrap(err, "pack configuration")
		}
		if len(body) > MaxPartBytes {
			return Manifest{}, nil, errors.Errorf("pack configuration: a part of %d bytes, at most %d", len(body), MaxPartBytes)
		}
		hash := hashOf(body)
		parts = append(parts, Part{Name: PartPrefix + hash, Body: body})
		manifest.Parts = append(manifest.Parts, ManifestPart{Name: PartPrefix + hash, Size: len(body), SHA256: hash})
	}
	return manifest, parts, errors.Wrap(manifest.check(), "pack configuration")
}

// splitDocument splits a document into the non-empty documents of its parts.
// Weight stores, services and rules share the first one.
func splitDocument(config Config) ([]Config, error) {
	fragments := []Config{{WeightStores: config.WeightStores, Services: config.Services, Rules: config.Rules}}
	engines, err := splitByHash(config.Engines,
		func(engine Engine) string { return string(engine.Name) },
		func(engines []Engine) Config { return Config{Engines: engines} })
	if err != nil {
		return nil, err
	}
	callers, err := splitByHash(config.Callers,
		func(caller Caller) string { return caller.Name },
		func(callers []Caller) Config { return Config{Callers: callers} })
	if err != nil {
		return nil, err
	}
	adapters, err := splitByHash(config.Adapters,
		func(adapter Adapter) string { return adapter.Address().String() },
		func(adapters []Adapter) Config { return Config{Adapters: adapters} })
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(slices.Concat(fragments, engines, callers, adapters), isEmpty), nil
}

func isEmpty(config Config) bool {
	return len(config.WeightStores)+len(config.Rules)+len(config.Engines)+
		len(config.Services)+len(config.Callers)+len(config.Adapters) == 0
}

// splitByHash distributes objects of one kind over fragments by the hash of their
// names. It doubles the number of fragments until their average size is at most
// targetPartBytes.
func splitByHash[T any](objects []T, name func(T) string, document func([]T) Config) ([]Config, error) {
	whole, err := Format(document(objects))
	if err != nil {
		return nil, err
	}
	count := 1
	for len(whole)/count > targetPartBytes {
		count *= 2
	}
	buckets := make([][]T, count)
	for _, object := range objects {
		index := xxhash.Sum64String(name(object)) % uint64(count)
		buckets[index] = append(buckets[index], object)
	}
	fragments := make([]Config, 0, count)
	for _, bucket := range buckets {
		sortByName(bucket, name)
		fragments = append(fragments, document(bucket))
	}
	return fragments, nil
}

// compareAdapters compares adapters by name and version, without formatting
// their addresses.
func compareAdapters(a, b Adapter) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Version, b.Version))
}

func sortByName[T any](objects []T, name func(T) string) {
	slices.SortStableFunc(objects, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

// Assemble joins the parts of a version, given by name, into its document, with
// engines, callers and adapters in order of name. It fails if any part is
// missing, differs in size or hash from the manifest, or cannot be parsed.
func Assemble(manifest Manifest, parts map[string][]byte) (Config, error) {
	document, _, err := AssembleFrom(nil, manifest, parts)
	return document, err
}

// ParsedParts holds the parsed parts of a document, by the hash of their text.
type ParsedParts map[string]Config

// AssembleFrom is like Assemble, but reuses the parsed parts of an earlier
// version: parsing takes most of the time of a switch to a new version, and most
// parts do not change. It also returns the parsed parts, for the next call.
func AssembleFrom(earlier ParsedParts, manifest Manifest, parts map[string][]byte) (Config, ParsedParts, error) {
	if err := manifest.check(); err != nil {
		return Config{}, nil, errors.Wrap(err, "assemble configuration")
	}
	document, parsedParts := Config{}, ParsedParts{}
	for _, part := range manifest.Parts {
		fragment, err := earlier.parsePart(part, parts)
		if err != nil {
			return Config{}, nil, errors.Wrap(err, "assemble configuration")
		}
		parsedParts[part.SHA256] = fragment
		document.appendObjects(fragment)
	}
	document.Version = manifest.Version
	sortByName(document.Engines, func(engine Engine) string { return string(engine.Name) })
	sortByName(document.Callers, func(caller Caller) string { return caller.Name })
	slices.SortStableFunc(document.Adapters, compareAdapters)
	return document, parsedParts, nil
}

// parsePart verifies one part, and parses it unless a part with the same hash was
// parsed before.
func (parsedParts ParsedParts) parsePart(part ManifestPart, parts map[string][]byte) (Config, error) {
	body, found := parts[part.Name]
	if !found {
		return Config{}, errors.Errorf("part %s is missing", part.Name)
	}
	if err := part.Verify(body); err != nil {
		return Config{}, err
	}
	if fragment, parsed := parsedParts[part.SHA256]; parsed {
		return fragment, nil
	}
	fragment, err := parseFragment(body)
	return fragment, errors.Wrapf(err, "part %s", part.Name)
}

func (config *Config) appendObjects(fragment Config) {
	config.WeightStores = append(config.WeightStores, fragment.WeightStores...)
	config.Engines = append(config.Engines, fragment.Engines...)
	config.Services = append(config.Services, fragment.Services...)
	config.Callers = append(config.Callers, fragment.Callers...)
	config.Adapters = append(config.Adapters, fragment.Adapters...)
	config.Rules = append(config.Rules, fragment.Rules...)
}

func parseFragment(body []byte) (Config, error) {
	fragment, err := Parse(body)
	if err != nil {
		return Config{}, err
	}
	if fragment.Version != 0 {
		return Config{}, errors.New("Version: only the manifest has one")
	}
	return fragment, nil
}
