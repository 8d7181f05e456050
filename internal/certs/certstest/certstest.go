// Package certstest creates certificate authorities and certificates for tests.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/certs"
)

// Authority is a certificate authority that signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New creates an authority whose certificate is valid for an hour.
func New(t testing.TB) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: serial(t), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	cert, err := x509.ParseCertificate(der)
	check(t, err)
	return &Authority{cert: cert, key: key}
}

// Write writes a certificate for 127.0.0.1 signed by the authority, its key and the
// authority's certificate to a directory. Existing files are replaced.
func (a *Authority) Write(t testing.TB, dir string) certs.Files {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: serial(t), Subject: pkix.Name{CommonName: "test process"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	check(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	check(t, err)
	return certs.Files{
		Cert: write(t, dir, "cert.pem", "CERTIFICATE", der),
		Key:  write(t, dir, "key.pem", "PRIVATE KEY", encoded),
		CA:   write(t, dir, "ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

func write(t testing.TB, dir, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(dir, name)
	check(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func serial(t testing.TB) *big.Int {
	t.Helper()
	n, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	check(t, err)
	return n
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
