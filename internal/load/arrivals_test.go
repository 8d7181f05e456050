package load

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// drawn parses a plan and lists the arrivals of one class.
func drawn(t *testing.T, text, class string) []string {
	t.Helper()
	plan, err := ParsePlan("plan.json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	arrivals, _ := drawArrivals(&plan)
	var list []string
	for _, a := range arrivals {
		if a.class.Name == class {
			list = append(list, a.at.String()+" "+a.model+a.call.Service)
		}
	}
	return list
}

func TestArrivalsComeFromTheSeed(t *testing.T) {
	first := drawn(t, planText("", ""), "c")
	if diff := cmp.Diff(first, drawn(t, planText("", ""), "c")); diff != "" {
		t.Errorf("same seed: %s", diff)
	}
	if cmp.Equal(first, drawn(t, planText(`"duration"`, `"seed": 2, "duration"`), "c")) {
		t.Error("a different seed gave the same arrivals")
	}
	other := `"classes": [{"name": "d", "apiKey": "k", "poisson": {"perSecond": 9}, "calls": [{"models": ["m"]}]}, `
	if diff := cmp.Diff(first, drawn(t, planText(`"classes": [`, other), "c")); diff != "" {
		t.Errorf("another class changed this one: %s", diff)
	}
}

func TestArrivalsFollowPhasesAndWeights(t *testing.T) {
	plan := Plan{
		Phases: []Phase{{"half", Duration(100 * time.Second), 0.5}, {"double", Duration(100 * time.Second), 2}},
		Classes: []Class{{
			Name: "c", Poisson: &Poisson{PerSecond: 100}, Bursts: &Bursts{Size: 10, Every: Duration(100 * time.Second)},
			Calls: []Call{{Models: []string{"a", "b"}, Zipf: 1}},
		}},
	}
	plan.setDefaults()
	arrivals, more := drawArrivals(&plan)
	byPhase, byModel, atStart := [2]int{}, map[string]int{}, [2]int{}
	for _, a := range arrivals {
		byPhase[a.phase]++
		byModel[a.model]++
		if a.at == time.Duration(a.phase)*100*time.Second {
			atStart[a.phase]++
		}
	}
	// The bounds are five standard deviations of the Poisson counts.
	if n := byPhase[0]; n < 4645 || n > 5355 {
		t.Errorf("0.5x: %d arrivals, wanted about 5000", n)
	}
	if n := byPhase[1]; n < 19290 || n > 20710 {
		t.Errorf("2x: %d arrivals, wanted about 20000", n)
	}
	if ratio := float64(byModel["a"]) / float64(byModel["b"]); ratio < 1.8 || ratio > 2.2 {
		t.Errorf("Zipf: ratio %v, wanted about 2", ratio)
	}
	if atStart != [2]int{5, 20} || more {
		t.Errorf("bursts of %v, wanted 5 and 20; more %v", atStart, more)
	}
	plan.MaxRequests = 100
	if few, more := drawArrivals(&plan); !more || !cmp.Equal(few[99].at, arrivals[99].at) {
		t.Error("MaxRequests does not leave out the last")
	}
}
