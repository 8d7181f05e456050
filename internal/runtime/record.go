package runtime

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Step is one recorded step of a reducer. A record is a CBOR sequence of a header,
// which the caller defines and which holds what is needed to build the same reducer,
// and the steps. It contains request text, so the file has to be treated as
// confidential.
type Step struct {
	_       struct{} `cbor:",toarray"`
	At      core.Time
	Event   cbor.RawMessage
	Effects []cbor.RawMessage
}

// Recorder writes the steps of one process as a record.
type Recorder struct {
	mu      sync.Mutex
	encoder *cbor.Encoder
	err     error
}

// NewRecorder writes the header and returns a recorder for the steps.
func NewRecorder(w io.Writer, header any) (*Recorder, error) {
	encoder := cbor.NewEncoder(w)
	if err := encoder.Encode(header); err != nil {
		return nil, errors.Wrap(err, "write record header")
	}
	return &Recorder{encoder: encoder}, nil
}

// Err returns the error that ended the recording, if any.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *Recorder) record(now core.Time, event core.Event, effects []core.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	step, err := encodeStep(now, event, effects)
	if err == nil {
		err = r.encoder.Encode(step)
	}
	r.err = err
}

func encodeStep(now core.Time, event core.Event, effects []core.Effect) (Step, error) {
	encoded, err := core.EncodeEvent(event)
	if err != nil {
		return Step{}, err
	}
	step := Step{At: now, Event: encoded}
	for _, effect := range effects {
		data, err := core.EncodeEffect(effect)
		if err != nil {
			return Step{}, err
		}
		step.Effects = append(step.Effects, data)
	}
	return step, nil
}

// Difference describes the first step at which a replay deviates from the record.
type Difference struct {
	// Index is the index of the step, from 0.
	Index    int
	Event    core.Event
	Recorded []core.Effect
	Replayed []core.Effect
}

// ErrDiffers is returned by Replay when the effects are not the recorded ones.
var ErrDiffers = errors.New("replayed effects differ from the recorded ones")

// Replay passes the recorded events to a new reducer and compares the resulting
// effects with the recorded ones. The caller has already read the header of the
// record from decoder. Replay calls each, if not nil, after every step. It returns
// the number of steps with equal effects.
func Replay(decoder *cbor.Decoder, stepper Stepper, each func(Step, []core.Effect)) (int, *Difference, error) {
	for index := 0; ; index++ {
		var step Step
		switch err := decoder.Decode(&step); {
		case errors.Is(err, io.EOF):
			return index, nil, nil
		case err != nil:
			return index, nil, errors.Wrapf(err, "code %d: step %d is not readable", code.BadReplay, index)
		}
		event, err := core.DecodeEvent(step.Event)
		if err != nil {
			return index, nil, errors.Wrapf(err, "code %d: step %d", code.BadReplay, index)
		}
		effects := stepper.Step(step.At, event)
		if each != nil {
			each(step, effects)
		}
		if difference, err := compare(step, event, effects); err != nil || difference != nil {
			if difference != nil {
				difference.Index = index
				err = ErrDiffers
			}
			return index, difference, err
		}
	}
}

func compare(step Step, event core.Event, effects []core.Effect) (*Difference, error) {
	again, err := encodeStep(step.At, event, effects)
	if err != nil {
		return nil, err
	}
	same := len(again.Effects) == len(step.Effects)
	for i := 0; same && i < len(step.Effects); i++ {
		same = string(step.Effects[i]) == string(again.Effects[i])
	}
	if same {
		return nil, nil
	}
	difference := &Difference{Event: event, Replayed: effects}
	for _, data := range step.Effects {
		effect, err := core.DecodeEffect(data)
		if err != nil {
			return nil, err
		}
		difference.Recorded = append(difference.Recorded, effect)
	}
	return difference, nil
}
