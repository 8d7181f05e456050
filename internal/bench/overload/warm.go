package overload

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

// warmRetry is the interval between checks whether the model is loaded.
const warmRetry = 100 * time.Millisecond

// warm declares the model and the client accounts, waits until every engine has the
// model loaded, and sends the load of the first multiplier, so that the daemons have
// estimates of durations.
func (b *bench) warm(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, warmLimit)
	defer cancel()
	revision, err := b.fleet.Apply(limited, 0, b.resources())
	if err != nil {
		return err
	}
	if err := b.fleet.AwaitRevision(limited, revision); err != nil {
		return err
	}
	for _, server := range b.fleet.Engines {
		if err := awaitLoaded(limited, server.URL()); err != nil {
			return err
		}
	}
	summary, err := b.load(ctx, b.steadyClass(large, b.opts.Multipliers[0]))
	if err != nil {
		return err
	}
	if measured(summary).GoodputPerSecond == 0 {
		return errors.New("no request was answered")
	}
	return nil
}

func (b *bench) resources() []api.Resource {
	resources := fleet.Declare(fleet.Declaration{
		Models: 1, Replicas: b.opts.Agents, KeepLoaded: b.opts.Agents, MaxConcurrent: b.opts.MaxConcurrent,
	})
	for _, c := range []account{large, small} {
		digest := sha256.Sum256([]byte(c.key))
		resources = append(resources, api.Resource{
			APIVersion: api.Version, Kind: api.KindClientAccount, Metadata: api.Metadata{Name: c.name},
			Spec: &api.ClientAccountSpec{APIKeySHA256: []string{hex.EncodeToString(digest[:])}, Weight: 1},
		})
	}
	return resources
}

func awaitLoaded(ctx context.Context, engine string) error {
	ticker := time.NewTicker(warmRetry)
	defer ticker.Stop()
	for {
		loaded, err := isLoaded(ctx, engine)
		if err != nil || loaded {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "no model is loaded at %s", engine)
		}
	}
}

func isLoaded(ctx context.Context, engine string) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, engine+engineapi.PathInventory, nil)
	if err != nil {
		return false, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, errors.Wrap(err, "read inventory")
	}
	defer func() { _ = response.Body.Close() }()
	var inventory engineapi.Inventory
	if err := json.NewDecoder(response.Body).Decode(&inventory); err != nil {
		return false, errors.Wrap(err, "decode inventory")
	}
	return len(inventory.Items) > 0 && !inventory.Items[0].Busy, nil
}
