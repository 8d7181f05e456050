package core

import (
	"math"
	"testing"
)

// BenchmarkOriginNews measures the bytes in which a router tells a loader of streams.
func BenchmarkOriginNews(b *testing.B) {
	for _, streams := range []int{1, 512} {
		news := OriginNews{}
		for i := range streams {
			news.Origins = append(news.Origins, StreamOrigin{Stream: math.MaxUint64 - uint64(i), Scope: math.MaxUint64, Release: "v1", Lasts: 26_000})
		}
		b.Run(map[int]string{1: "one", 512: "many"}[streams], func(b *testing.B) {
			size := 0
			for range b.N {
				data, err := EncodeMessage(news)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(streams), "bytes/stream")
		})
	}
}
