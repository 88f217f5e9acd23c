package edgepeers

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/juju/errors"

	"teaselring/mesh"
	"teaselring/port"
)

const (
	// serverName is the name in every node's certificate. Peers are reached by
	// IP address, so a certificate can't be tied to a host name.
	serverName = "peer.teaselring.internal"
	// certificateLifetime exceeds the uptime of a node process: all instances are
	// replaced within months.
	certificateLifetime = 365 * 24 * time.Hour
	// clockSkewTolerance is how far a node's clock may run ahead of the verifier's.
	clockSkewTolerance = 24 * time.Hour
)

// newPeerTLS derives the certificate authority from the shared key and issues
// a certificate for this process. The authority's private key is the same on
// every node and never leaves memory.
func newPeerTLS(key string, node mesh.NodeID, now time.Time) (port.PeerTLS, error) {
	authority, authorityKey, err := newAuthority(key)
	if err != nil {
		return port.PeerTLS{}, errors.Annotate(err, "peer certificate authority")
	}
	certificate, err := issueCertificate(authority, authorityKey, node, now)
	if err != nil {
		return port.PeerTLS{}, errors.Annotate(err, "peer certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	return port.PeerTLS{
		Server: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{certificate},
			ClientCAs:    pool,
			// A client without a certificate is refused with a result code by the
			// HTTP layer; one with an invalid certificate fails the handshake.
			ClientAuth: tls.VerifyClientCertIfGiven,
			NextProtos: []string{"h2", "http/1.1"},
		},
		Client: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{certificate},
			RootCAs:      pool,
			ServerName:   serverName,
		},
	}, nil
}

func newAuthority(key string) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, []byte(key), nil, "teaselring peer authority 1", ed25519.SeedSize)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	private := ed25519.NewKeyFromSeed(seed)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "teaselring peer authority"},
		NotBefore:             time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:              time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	certificate, err := x509.ParseCertificate(der)
	return certificate, private, errors.Trace(err)
}

func issueCertificate(authority *x509.Certificate, authorityKey ed25519.PrivateKey, node mesh.NodeID, now time.Time) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Trace(err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return tls.Certificate{}, errors.Trace(err)
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: string(node)},
		DNSNames:     []string{serverName},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, authorityKey)
	if err != nil {
		return tls.Certificate{}, errors.Trace(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}
