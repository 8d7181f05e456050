package fairshare

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a wrong fair level: what an account does not ask for must be divided among
// the others by their weights.
func TestLevel(t *testing.T) {
	inf := math.Inf(1)
	for _, test := range []struct {
		name     string
		demands  []demand
		capacity float64
		want     float64
	}{
		{"no account", nil, 10, inf},
		{"all get what they ask for", []demand{{3, 1}, {4, 1}}, 10, inf},
		{"exactly enough", []demand{{3, 1}, {7, 1}}, 10, inf},
		{"equal shares", []demand{{30, 1}, {20, 1}}, 10, 5},
		{"by weight", []demand{{30, 3}, {20, 1}}, 10, 2.5},
		{"one asks for less", []demand{{2, 1}, {20, 1}, {20, 1}}, 10, 4},
		{"two ask for less, one of them by its weight", []demand{{2, 1}, {6, 8}, {20, 1}, {20, 1}}, 20, 6},
		{"no capacity", []demand{{2, 1}, {3, 1}}, 0, 0},
		{"negative capacity", []demand{{2, 1}, {3, 1}}, -4, 0},
		{"less than one permit each", []demand{{2, 1}, {3, 1}}, 0.5, 0.25},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := level(test.demands, test.capacity); math.Abs(got-test.want) > 1e-9 && got != test.want {
				t.Errorf("level %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against shares that leave permits unused or exceed them: together they must be the
// capacity, or what is asked for if that is less. No account that asks for less than its share
// may be bounded.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) demand {
			return demand{
				asked:  float64(rapid.IntRange(1, 200).Draw(t, "asked")),
				weight: rapid.Float64Range(0.01, 1000).Draw(t, "weight"),
			}
		}), 1, 64).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 2000).Draw(t, "capacity")
		all := append([]demand(nil), demands...)
		at := level(demands, capacity)
		asked, shares := 0.0, 0.0
		for _, d := range all {
			asked += d.asked
			shares += min(d.asked, at*d.weight)
		}
		if want := min(asked, capacity); math.Abs(shares-want) > 1e-6*max(1, want) {
			t.Fatalf("shares are %v together, want %v", shares, want)
		}
	})
}
