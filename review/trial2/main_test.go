// Package trial2 plays the scripts of a review. It starts the project's own routers and loaders as
// separate processes with the commands of the deploy file, on loopback addresses, and plays the
// platform's store, replicas and clients itself. It is run in the root of the repository.
//
// All files are test files, as they spell out the platform's names; there are no Go tests in them.
package trial2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// longest is the time after which a script is given up.
const longest = 110 * time.Second

// Exit codes.
const (
	held, broken, notRun = 0, 1, 2
)

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"lateorder":     lateOrder,
	"longprompt":    longPrompt,
	"quarter":       quarter,
	"quietfront":    quietFront,
	"raremodel":     rareModel,
	"sameread":      sameRead,
	"restoredentry": restoredEntry,
	"takenup":       takenUp,
}

// TestMain plays the case that the arguments name; review/build-2.sh builds the test binary.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial2 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, file string, trouble bool) (code int) {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec.log("case %s, disruption %t", name, trouble)
	w, err := newWorld(rec)
	if err != nil {
		rec.log("can't run: %v", err)
		return notRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		code, err = cases[name](w, trouble)
	}()
	select {
	case <-done:
	case <-stopped:
		rec.log("can't run: stopped by a signal")
		return notRun
	case <-time.After(longest):
		rec.log("can't run: not done after %v", longest)
		return notRun
	}
	if err != nil {
		rec.log("can't run: %v", err)
		return notRun
	}
	rec.log("result: %s", [...]string{"the rule held", "the rule was broken"}[code])
	return code
}
