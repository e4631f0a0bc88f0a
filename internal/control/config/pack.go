package config

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// partTarget is the size that parts aim at, in bytes. A change of one adapter
// makes daemons fetch one part: small parts make changes cheap, many parts make
// the manifest long.
const partTarget = 64 << 10

// Pack divides a document into a manifest and parts. Engines, callers and
// adapters are each spread over a power of two of parts by the hash of their
// names, so that a small change alters few parts; their order carries no
// meaning and is lost. Publish the parts before the manifest.
func Pack(config Config) (Manifest, []Part, error) {
	manifest := Manifest{Version: config.Version}
	var parts []Part
	divided, err := fragments(config)
	if err != nil {
		return Manifest{}, nil, errors.Wrap(err, "pack configuration")
	}
	for _, fragment := range divided {
		body, err := Format(fragment)
		if err != nil {
			return Manifest{}, nil, errors.Wrap(err, "pack configuration")
		}
		if len(body) > MaxPart {
			return Manifest{}, nil, errors.Errorf("pack configuration: a part of %d bytes, at most %d", len(body), MaxPart)
		}
		hash := hashOf(body)
		parts = append(parts, Part{Name: PartPrefix + hash, Body: body})
		manifest.Parts = append(manifest.Parts, ManifestPart{Name: PartPrefix + hash, Size: len(body), SHA256: hash})
	}
	return manifest, parts, errors.Wrap(manifest.check(), "pack configuration")
}

// fragments divides a document into the documents of its parts.
func fragments(config Config) ([]Config, error) {
	divided := []Config{{WeightStores: config.WeightStores, Services: config.Services, Rules: config.Rules}}
	engines, err := spread(config.Engines,
		func(engine Engine) string { return string(engine.Name) },
		func(engines []Engine) Config { return Config{Engines: engines} })
	if err != nil {
		return nil, err
	}
	callers, err := spread(config.Callers,
		func(caller Caller) string { return caller.Name },
		func(callers []Caller) Config { return Config{Callers: callers} })
	if err != nil {
		return nil, err
	}
	adapters, err := spread(config.Adapters,
		func(adapter Adapter) string { return adapter.Address().String() },
		func(adapters []Adapter) Config { return Config{Adapters: adapters} })
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(slices.Concat(divided, engines, callers, adapters), empty), nil
}

func empty(config Config) bool {
	return len(config.WeightStores)+len(config.Rules)+len(config.Engines)+
		len(config.Services)+len(config.Callers)+len(config.Adapters) == 0
}

// spread divides objects of one kind by the hash of their names.
func spread[T any](objects []T, name func(T) string, document func([]T) Config) ([]Config, error) {
	whole, err := Format(document(objects))
	if err != nil {
		return nil, err
	}
	count := 1
	for len(whole)/count > partTarget {
		count *= 2
	}
	buckets := make([][]T, count)
	for _, object := range objects {
		at := xxhash.Sum64String(name(object)) % uint64(count)
		buckets[at] = append(buckets[at], object)
	}
	divided := make([]Config, 0, count)
	for _, bucket := range buckets {
		sortByName(bucket, name)
		divided = append(divided, document(bucket))
	}
	return divided, nil
}

// compareAdapters orders by name and version without building the address.
func compareAdapters(a, b Adapter) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Version, b.Version))
}

func sortByName[T any](objects []T, name func(T) string) {
	slices.SortStableFunc(objects, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

// Assemble joins the parts of a version, by name, into its document, with
// engines, callers and adapters in order of name. Nothing is taken from a version of which any part is
// missing, has another hash than the manifest says, or does not parse.
func Assemble(manifest Manifest, parts map[string][]byte) (Config, error) {
	joined, _, err := AssembleFrom(nil, manifest, parts)
	return joined, err
}

// Pieces are the parsed parts of a document, by the hash of their text.
type Pieces map[string]Config

// AssembleFrom is Assemble, with the pieces of an earlier version: parsing takes
// most of the time of a switch, and most parts do not change. It returns the
// pieces for the next one.
func AssembleFrom(earlier Pieces, manifest Manifest, parts map[string][]byte) (Config, Pieces, error) {
	if err := manifest.check(); err != nil {
		return Config{}, nil, errors.Wrap(err, "assemble configuration")
	}
	joined, pieces := Config{}, Pieces{}
	for _, part := range manifest.Parts {
		fragment, err := earlier.read(part, parts)
		if err != nil {
			return Config{}, nil, errors.Wrap(err, "assemble configuration")
		}
		pieces[part.SHA256] = fragment
		joined.add(fragment)
	}
	joined.Version = manifest.Version
	sortByName(joined.Engines, func(engine Engine) string { return string(engine.Name) })
	sortByName(joined.Callers, func(caller Caller) string { return caller.Name })
	slices.SortStableFunc(joined.Adapters, compareAdapters)
	return joined, pieces, nil
}

// read checks and parses one part, unless it was parsed before.
func (pieces Pieces) read(part ManifestPart, parts map[string][]byte) (Config, error) {
	body, found := parts[part.Name]
	if !found {
		return Config{}, errors.Errorf("part %s is missing", part.Name)
	}
	if err := part.Verify(body); err != nil {
		return Config{}, err
	}
	if fragment, parsed := pieces[part.SHA256]; parsed {
		return fragment, nil
	}
	fragment, err := parseFragment(body)
	return fragment, errors.Wrapf(err, "part %s", part.Name)
}

func (config *Config) add(fragment Config) {
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
