package fleet

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// engineBefore has fields of Engine as builds without copies of running requests know it.
type engineBefore struct {
	Slots    int
	MemoryMB float64
	Models   map[string]Model
}

// Guards against a fleet of two builds that can't read each other's configurations: routers of the
// build before have no copies of running requests, and configurations of theirs ask for none.
func TestEngineIsReadByTheBuildBefore(t *testing.T) {
	data, err := cbor.Marshal(Engine{Slots: 64, MemoryMB: 83000, Backups: true, CopyLife: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	var before engineBefore
	if err := cbor.Unmarshal(data, &before); err != nil || before.Slots != 64 || before.MemoryMB != 83000 {
		t.Errorf("the build before reads %+v, %v", before, err)
	}
	if data, err = cbor.Marshal(before); err != nil {
		t.Fatal(err)
	}
	var now Engine
	if err := cbor.Unmarshal(data, &now); err != nil || now.Slots != 64 || now.Backups || now.CopyLife != 0 {
		t.Errorf("of the build before it reads %+v, %v", now, err)
	}
}
