// Package account tells who calls: the client accounts of a configuration and the
// keys that name them. A Directory is immutable, and holds digests in place of keys,
// so that no key reaches a log line or a status page. It decides nothing about what an
// account may use; that is package quota's.
package account

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Digest stands for a key.
type Digest [16]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// shownBytes of a digest tell the keys of a site apart.
const shownBytes = 4

// String returns the short form of the digest that logs show.
func (digest Digest) String() string {
	return hex.EncodeToString(digest[:shownBytes])
}

// Unit is what a limit counts.
type Unit int

// Units.
const (
	Requests Unit = iota
	Tokens        // of prompt and output together
)

// Limit is what an account may use over all daemons.
type Limit struct {
	Unit        Unit
	Rate        float64 // units a second; 0 means that there is no limit
	Burst       float64 // units at once, beyond the rate
	DefaultCost float64 // units of a request that names no tokens, where tokens are counted
}

// Limited reports whether there is a limit.
func (limit Limit) Limited() bool {
	return limit.Rate > 0
}

// Cost returns what a request counts. Tokens is 0 for one that names none.
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
	HasRank bool // Rank goes before that of the route
	Rank    int  // 0 is the most urgent
	Limit   Limit
}

// Entry is an account with its keys as a configuration lists it.
type Entry struct {
	Account
	Keys []string
}

// Directory finds accounts by key.
type Directory struct {
	byKey   map[Digest]*Account
	byName  map[string]*Account
	limited bool // an account has a limit
}

// New returns the directory of accounts, or why the list cannot be used: a list in
// which a name or key is empty or stands twice, or a limit is negative, is refused as a
// whole, as no guess says whom such a key stands for.
func New(entries []Entry) (*Directory, error) {
	directory := &Directory{byKey: make(map[Digest]*Account), byName: make(map[string]*Account)}
	for _, entry := range entries {
		if err := directory.add(entry); err != nil {
			return nil, err
		}
	}
	return directory, nil
}

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

// Limited reports whether any account has a limit.
func (directory *Directory) Limited() bool {
	return directory != nil && directory.limited
}

// Limit returns the limit of an account, none for one that is not listed.
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
