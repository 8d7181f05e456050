// Package accounts tells which client account a request comes from, by its
// credentials, and when a router may say that a key is unknown.
//
// Keys are held as digests only. What can't be read back can't leak by a log line, a
// dump, a message between processes or a panic.
//
// The package has no I/O and no clock.
package accounts

import "nutmeglane.example/nutmeglane/internal/fleet"

// Directory finds accounts by the digest of their keys. It does not change.
type Directory struct {
	byKey map[fleet.KeyDigest]*fleet.Account
}

// NewDirectory returns the directory of a configuration's accounts. Of two accounts with
// the same key the first has it.
func NewDirectory(list []fleet.Account) *Directory {
	d := &Directory{byKey: map[fleet.KeyDigest]*fleet.Account{}}
	for i := range list {
		for _, key := range list[i].Keys {
			if d.byKey[key] == nil {
				d.byKey[key] = &list[i]
			}
		}
	}
	return d
}

// Find returns the account of a credential, nil if it names none.
func (d *Directory) Find(credential fleet.Credential) *fleet.Account {
	if !credential.Given {
		return nil
	}
	return d.byKey[credential.Key]
}

// Dropped are the keys of a directory that a later one does not have.
func (d *Directory) RemovedKeys(later *Directory) []fleet.KeyDigest {
	var dropped []fleet.KeyDigest
	for key := range d.byKey {
		if later.byKey[key] == nil {
			dropped = append(dropped, key)
		}
	}
	return dropped
}
