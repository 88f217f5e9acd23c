package mesh

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// AccountName identifies a client account.
type AccountName string

// Account is a client account of the configuration.
type Account struct {
	Name AccountName
	// Rate is the number of requests per second over all nodes; 0: no limit.
	Rate float64
	// Burst is the number of requests that may exceed Rate at once.
	Burst float64
	// Priority ranks the account's calls above the priority of their routes; 0 is the
	// highest. It applies only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions whose upstreams may get the account's calls; nil: all.
	Regions []Region
}

// keyDigest is the SHA-256 of an account's key. Keys are looked up by digest, so that
// the duration of a lookup tells nothing about the keys in force.
type keyDigest [sha256.Size]byte

// RequireKeys makes requests need the key of an account, even if there is no account.
func (s *Snapshot) RequireKeys() {
	if s.Accounts == nil {
		s.Accounts, s.accountByKey = map[AccountName]*Account{}, map[keyDigest]*Account{}
	}
}

// RequiresKeys reports whether requests need the key of an account. Anonymous routes are
// exempt.
func (s *Snapshot) RequiresKeys() bool { return s.Accounts != nil }

// AddAccount adds an account that any of the keys identifies. A key that already
// identifies another account is not added, and AddAccount returns false.
func (s *Snapshot) AddAccount(a Account, keys []string) bool {
	s.RequireKeys()
	s.Accounts[a.Name] = &a
	unique := true
	for _, key := range keys {
		digest := keyDigest(sha256.Sum256([]byte(key)))
		if _, taken := s.accountByKey[digest]; taken || key == "" {
			unique = false
			continue
		}
		s.accountByKey[digest] = &a
	}
	return unique
}

// AccountByKey returns the account that a key identifies, or nil.
func (s *Snapshot) AccountByKey(key string) *Account {
	if key == "" {
		return nil
	}
	return s.accountByKey[keyDigest(sha256.Sum256([]byte(key)))]
}

// Keys returns the number of keys that identify any account.
func (s *Snapshot) Keys() int { return len(s.accountByKey) }

// KeyCount returns the number of keys that identify an account.
func (s *Snapshot) KeyCount(name AccountName) int {
	n := 0
	for _, a := range s.accountByKey {
		if a.Name == name {
			n++
		}
	}
	return n
}

// KeyText describes the keys of an account, so that two versions can be compared: their
// number, and a checksum that does not tell the keys.
func (s *Snapshot) KeyText(name AccountName) string {
	var sum uint32
	for digest, a := range s.accountByKey {
		if a.Name == name {
			sum += binary.BigEndian.Uint32(digest[:]) // the order of a map is random
		}
	}
	return fmt.Sprintf("%d (checksum %04x)", s.KeyCount(name), uint16(sum>>16))
}
