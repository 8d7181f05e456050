package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"nutmeglane.example/nutmeglane/internal/core"
)

// A caller reads slowly, so its run is paused. The agent must stop reading from
// the backend server instead of buffering the answer without limit. Once all
// goroutines are blocked, which synctest.Wait ensures, the backend server must
// have written only a small part. After the pause, the whole answer must follow.
func TestPauseStopsReadingBackend(t *testing.T) {
	const pieces, most = 1000, 2 * maxBatch
	models := core.Target{Model: "line"}
	services := core.Target{Service: "akte"}
	for _, target := range []core.Target{models, services} {
		synctest.Test(t, func(t *testing.T) {
			var posted, ended int
			exec := &Executor{post: func(e core.Event) {
				posted += int(e.(core.RunProgress).Count)
			}}
			r := &run{effect: core.Run{Target: target}, exec: exec, gate: newGate()}
			r.gate.set(true)
			reader, writer := io.Pipe()
			written := 0
			go func() {
				for ; written < pieces; written++ {
					_, _ = fmt.Fprintf(writer, `{"index":%d,"text":%q}`+"\n", written, strings.Repeat("x", 1000))
				}
				_, _ = fmt.Fprintf(writer, `{"index":%d,"done":true}`+"\n", pieces)
				_ = writer.Close()
			}()
			response := &http.Response{StatusCode: http.StatusOK, Body: reader}
			go func() {
				copyAnswer := r.copyTokens
				if target == services {
					copyAnswer = r.copyService
				}
				if err := copyAnswer(context.Background(), response); err != nil {
					t.Error(err)
				}
				ended++
			}()
			synctest.Wait()
			if posted != 0 || written > most {
				t.Errorf("%v paused: %d posted, %d written", target, posted, written)
			}
			r.gate.set(false)
			synctest.Wait()
			if posted < pieces || ended != 1 {
				t.Errorf("%v resumed: %d posted, %d ended", target, posted, ended)
			}
		})
	}
}
