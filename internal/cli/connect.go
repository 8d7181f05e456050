package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/operator/client"
)

// connectFlags returns the flags of every command that calls the API, followed by more.
func connectFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "api", Value: "127.0.0.1:8081", Sources: cli.EnvVars("NUTMEGLANE_API"),
			Usage: "operators' `ADDRESS` of an entry, IP:port or https://IP:port; of several, separated by commas, the first is called and all are asked for a rollout",
		},
		&cli.StringFlag{Name: "token", Usage: "operators' bearer `TOKEN`; better given by the environment, as command lines are seen by others", Sources: cli.EnvVars("NUTMEGLANE_TOKEN")},
		&cli.StringFlag{Name: "ca", Usage: "`FILE` of the authority that signed the entry's certificate", Sources: cli.EnvVars("NUTMEGLANE_CA")},
		&cli.StringFlag{Name: "cert", Usage: "`FILE` of a client certificate", Sources: cli.EnvVars("NUTMEGLANE_CERT")},
		&cli.StringFlag{Name: "key", Usage: "`FILE` of its private key", Sources: cli.EnvVars("NUTMEGLANE_KEY")},
	}, more...)
}

// outputFlag returns the flag that selects tables or JSON.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT`: table or json", Value: "table", Validator: func(format string) error {
		if format != "table" && format != "json" {
			return errors.Newf("got %q, wanted table or json", format)
		}
		return nil
	}}
}

func wantsJSON(cmd *cli.Command) bool { return cmd.String("output") == "json" }

// connect returns a client for the first entry that the flags name.
func connect(cmd *cli.Command) (*client.Client, error) {
	clients, err := connectAll(cmd)
	if err != nil {
		return nil, err
	}
	return clients[0], nil
}

// connectAll returns a client for each entry that the flags name.
func connectAll(cmd *cli.Command) ([]*client.Client, error) {
	return connectTo(cmd, strings.Split(cmd.String("api"), ","))
}

func connectTo(cmd *cli.Command, addresses []string) ([]*client.Client, error) {
	config, err := tlsConfig(cmd)
	if err != nil {
		return nil, err
	}
	checked := framing.NewTransport(&http.Transport{TLSClientConfig: config, DialContext: dial})
	var clients []*client.Client
	for _, address := range addresses {
		address = strings.TrimSpace(address)
		if !strings.Contains(address, "://") {
			scheme := "http://"
			if config != nil {
				scheme = "https://"
			}
			address = scheme + address
		}
		clients = append(clients, client.New(address, cmd.String("token"), &http.Client{Transport: checked}))
	}
	return clients, nil
}

// dial adds a recommendation to the error of an address that can't be reached.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	return conn, errors.Wrapf(err, "can't reach %s; check --api or NUTMEGLANE_API, and that the process runs", address)
}

// tlsConfig returns the TLS configuration, or nil if the flags name neither an authority
// nor a certificate.
func tlsConfig(cmd *cli.Command) (*tls.Config, error) {
	authority, cert, key := cmd.String("ca"), cmd.String("cert"), cmd.String("key")
	if authority == "" && cert == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if authority != "" {
		pem, err := os.ReadFile(authority)
		if err != nil {
			return nil, errors.Wrap(err, "--ca")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Newf("--ca: %s holds no certificate", authority)
		}
	}
	if cert != "" {
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, errors.Wrap(err, "--cert and --key")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
