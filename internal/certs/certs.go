// Package certs loads TLS certificates from files and reloads them without a restart when
// the files are replaced.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files names PEM files. Cert and Key are a certificate and its private key. CA, if set, is
// the file of the certificate authorities that must have signed the peer's certificate.
type Files struct {
	Cert, Key, CA string
}

// Source holds the last valid content of its files. Each handshake checks whether a file
// changed. Established connections are not affected.
type Source struct {
	files Files
	log   *slog.Logger

	mu       sync.Mutex
	versions [3]fileVersion
	loaded   keyMaterial
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	cert tls.Certificate
	pool *x509.CertPool // nil without a CA file
}

// fileVersion identifies a version of a file, to detect changes.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Load reads the files. It returns nil if files.Cert is empty.
func Load(files Files, log *slog.Logger) (*Source, error) {
	if files.Cert == "" {
		return nil, nil
	}
	s := &Source{files: files, log: log, versions: files.versions()}
	var err error
	s.loaded, err = files.read()
	return s, err
}

func (f Files) names() [3]string { return [3]string{f.Cert, f.Key, f.CA} }

func (f Files) versions() (versions [3]fileVersion) {
	for i, name := range f.names() {
		if info, err := os.Stat(name); name != "" && err == nil {
			versions[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return versions
}

func (f Files) read() (keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return keyMaterial{}, errors.Wrapf(err, "load certificate %s", f.Cert)
	}
	if f.CA == "" {
		return keyMaterial{cert: cert}, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return keyMaterial{}, errors.Wrap(err, "load certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return keyMaterial{}, errors.Newf("%s holds no certificate", f.CA)
	}
	return keyMaterial{cert: cert, pool: pool}, nil
}

// current returns the key material, after reloading the files if one of them changed.
//
// The files are replaced one after the other, so a handshake in between can find a
// certificate that does not match the key. The pair then fails to load and the previous key
// material stays in use. The next replaced file changes the versions again, so the next
// handshake retries.
func (s *Source) current() keyMaterial {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.files.versions()
	if versions == s.versions {
		return s.loaded
	}
	s.versions = versions
	loaded, err := s.files.read()
	if err != nil {
		s.log.Error("certificate not replaced", "file", s.files.Cert, "error", err.Error())
		return s.loaded
	}
	s.loaded = loaded
	s.log.Info("certificate replaced", "file", s.files.Cert)
	return loaded
}

// Server returns the configuration of a listener. With a CA file, it requires a valid
// client certificate.
//
// Session resumption is disabled: a resumed session would skip the verification against a
// certificate authority that was replaced in the meantime.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current()
			config := &tls.Config{
				MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true,
				Certificates: []tls.Certificate{m.cert},
				NextProtos:   []string{"http/1.1"},
			}
			if m.pool != nil {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, m.pool
			}
			return config, nil
		},
	}
}

// Client returns the configuration of one dial. It presents the certificate and requires
// the peer's certificate to be signed by an authority of the CA file.
func (s *Source) Client() *tls.Config {
	m := s.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, RootCAs: m.pool}
}
