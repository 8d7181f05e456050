// Package accounts finds the client account of a request by its credentials, and determines
// when a router may report a key as unknown.
//
// Keys are kept as digests only, so that they can't leak through a log line, a dump, a
// message between processes or a panic.
//
// The package has no I/O and no clock.
package accounts

import "nutmeglane.example/nutmeglane/internal/fleet"

// Directory finds accounts by the digest of their keys. It is immutable.
type Directory struct {
	byKey map[fleet.KeyDigest]*fleet.Account
}

// NewDirectory returns the directory of a configuration's accounts. If two accounts have
// the same key, it belongs to the first.
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

// Find returns the account of a credential, nil if it belongs to none.
func (d *Directory) Find(credential fleet.Credential) *fleet.Account {
	if !credential.Given {
		return nil
	}
	return d.byKey[credential.Key]
}

// RemovedKeys returns the keys of a directory that a later one does not have.
func (d *Directory) RemovedKeys(later *Directory) []fleet.KeyDigest {
	var dropped []fleet.KeyDigest
	for key := range d.byKey {
		if later.byKey[key] == nil {
			dropped = append(dropped, key)
		}
	}
	return dropped
}
