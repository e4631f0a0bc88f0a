// Package account identifies callers: it holds the client accounts of a configuration and
// finds them by key. A Directory is immutable. It holds digests instead of keys, so that no
// key reaches a log line or a status page. Package quota enforces the limits of accounts.
package account

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Digest identifies a key without revealing it.
type Digest [16]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// shortBytes is the length in bytes of the short form of a digest, enough to distinguish the
// keys of a site.
const shortBytes = 4

// String returns the short form of the digest for logs.
func (digest Digest) String() string {
	return hex.EncodeToString(digest[:shortBytes])
}

// Unit is the unit in which a limit counts.
type Unit int

// Units.
const (
	Requests Unit = iota
	Tokens        // prompt and output together
)

// Limit is what an account may use across all daemons.
type Limit struct {
	Unit        Unit
	Rate        float64 // units a second; 0 means that there is no limit
	Burst       float64 // units at once, beyond the rate
	DefaultCost float64 // with Tokens, the units of a request that states no number of tokens
}

// Limited reports whether there is a limit.
func (limit Limit) Limited() bool {
	return limit.Rate > 0
}

// Cost returns the units of a request. Tokens is 0 for one that states no number of tokens.
func (limit Limit) Cost(tokens int) float64 {
	switch {
	case limit.Unit == Requests:
		return 1
	case tokens <= 0:
		return limit.DefaultCost
	default:
		return float64(tokens)
	}
}

// Account is a client account.
type Account struct {
	Name    string
	HasRank bool // Rank overrides the rank of the route
	Rank    int  // 0 is the most urgent
	Limit   Limit
}

// HashOf returns the hash of an account's name, which stands for the account in messages about
// prompts. It is 0 for an empty name only.
func HashOf(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(name))
}

// Entry is an account with its keys, as listed in a configuration.
type Entry struct {
	Account
	Keys []string
}

// Directory finds accounts by key.
type Directory struct {
	byKey   map[Digest]*Account
	byName  map[string]*Account
	limited bool // whether any account has a limit
}

// New returns a directory of accounts. It rejects the whole list if a name or key is empty, a
// name occurs twice, a key belongs to two accounts or a limit is negative, rather than guess
// which account is meant.
func New(entries []Entry) (*Directory, error) {
	directory := &Directory{byKey: make(map[Digest]*Account), byName: make(map[string]*Account)}
	for _, entry := range entries {
		if err := directory.add(entry); err != nil {
			return nil, err
		}
	}
	return directory, nil
}

// add adds an account and its keys.
func (directory *Directory) add(entry Entry) error {
	account := entry.Account
	if account.Name == "" {
		return errors.New("an account has no name")
	}
	if _, twice := directory.byName[account.Name]; twice {
		return errors.Errorf("account %s stands twice", account.Name)
	}
	if account.Limit.Rate < 0 || account.Limit.Burst < 0 || account.Limit.DefaultCost < 0 {
		return errors.Errorf("account %s: a limit is negative", account.Name)
	}
	directory.byName[account.Name] = &account
	directory.limited = directory.limited || account.Limit.Limited()
	for _, key := range entry.Keys {
		if key == "" {
			return errors.Errorf("account %s: a key is empty", account.Name)
		}
		digest := DigestOf(key)
		if holder, taken := directory.byKey[digest]; taken && holder != &account {
			return errors.Errorf("key %s is one of account %s and of account %s", digest, holder.Name, account.Name)
		}
		directory.byKey[digest] = &account
	}
	return nil
}

// ByKey returns the account that holds a key.
func (directory *Directory) ByKey(key string) (*Account, bool) {
	account, ok := directory.byKey[DigestOf(key)]
	return account, ok
}

// NamesOf returns the names of the listed accounts among those with the given hashes. It looks at
// all accounts.
func (directory *Directory) NamesOf(hashes []uint64) map[uint64]string {
	names := make(map[uint64]string)
	for name := range directory.byName {
		if hash := HashOf(name); slices.Contains(hashes, hash) {
			names[hash] = name
		}
	}
	return names
}

// Limited reports whether any account has a limit.
func (directory *Directory) Limited() bool {
	return directory != nil && directory.limited
}

// Limit returns the limit of an account, or no limit for one that is not listed.
func (directory *Directory) Limit(name string) Limit {
	if directory == nil {
		return Limit{}
	}
	account, ok := directory.byName[name]
	if !ok {
		return Limit{}
	}
	return account.Limit
}
