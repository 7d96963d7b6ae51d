package writeonce_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// longName is an incarnation of the usual length.
const longName = ident.Incarnation("agent-caja-12@01a23dbc-7411-7bad-b167-389d582bd8b3")

// answerBytes is the size of an answer in the measurements.
const answerBytes = 200

var sizes = []int{1_000, 8_000, 60_000}

// held returns the bytes of heap that build leaves behind.
func held(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory reports the memory of a key at its agent: a permit and a
// dated key that ran, with an answer and without, and the claim of another
// agent that the agent only follows.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		for name, fill := range map[string]func(p *writeonce.Partition, log *testLog, n int){
			"permit":       func(p *writeonce.Partition, _ *testLog, n int) { runPermits(p, n, answerBytes) },
			"no-answer":    func(p *writeonce.Partition, _ *testLog, n int) { runPermits(p, n, 0) },
			"dated":        func(p *writeonce.Partition, log *testLog, n int) { runDated(p, log, n) },
			"others-claim": func(p *writeonce.Partition, log *testLog, n int) { followClaims(p, log, n, "b@0") },
		} {
			b.Run(fmt.Sprintf("%s/keys=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					log := &testLog{}
					log.append("open", day.Add(-time.Hour))
					bytes := held(func() any {
						p := writeonce.NewPartition(longName)
						fill(p, log, n)
						log.records = nil
						return p
					})
					b.ReportMetric(bytes/float64(n), "B/key")
				}
			})
		}
	}
}

func runPermits(p *writeonce.Partition, n, size int) {
	for i := range n {
		try := tryOf(writeonce.NewPermit(longName, 0, uint64(i)).String(), "hold")
		p.Step(0, try)
		p.RecordAnswer(try.Write.Key, writeonce.Answer{Status: 200, Body: make([]byte, size)})
	}
}

func runDated(p *writeonce.Partition, log *testLog, n int) {
	followClaims(p, log, n, longName)
	for i := range n {
		try := tryOf(keyAt(day, i), "hold")
		p.Step(0, try)
		p.RecordAnswer(try.Write.Key, writeonce.Answer{Status: 200, Body: make([]byte, answerBytes)})
	}
}

func followClaims(p *writeonce.Partition, log *testLog, n int, agent ident.Incarnation) {
	log.read(p)
	for i := range n {
		try := tryOf(keyAt(day, i), "hold")
		log.append(agent, day, writeonce.Claim{Key: try.Write.Key.String(), Digest: try.Write.Digest[:]})
		if i%1000 == 999 {
			log.read(p)
			log.records = log.records[len(log.records)-1:]
			log.first = int64(i + 1)
		}
	}
	log.read(p)
}

// BenchmarkClaimBytes reports the bytes of a claim in a record, by the number
// of claims that share the record.
func BenchmarkClaimBytes(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			claims := make([]writeonce.Claim, n)
			for i := range claims {
				try := tryOf(keyAt(day, i), "hold")
				claims[i] = writeonce.Claim{Key: try.Write.Key.String(), Digest: try.Write.Digest[:]}
			}
			batch := writeonce.Batch{ID: ident.NewKey(), Agent: longName, Claims: claims}
			for b.Loop() {
				data, err := writeonce.EncodeBatch(batch)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data))/float64(n), "B/claim")
			}
		})
	}
}

// BenchmarkFold reports the processor time of a claim that is read.
func BenchmarkFold(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			for b.Loop() {
				p, log := writeonce.NewPartition("a@0"), &testLog{}
				log.append("open", day.Add(-time.Hour))
				followClaims(p, log, n, "b@0")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
		})
	}
}

// BenchmarkOpen reports the processor time of the decision about a try of a
// permit among many keys.
func BenchmarkOpen(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			p := writeonce.NewPartition("a@0")
			for i := range n {
				p.Step(0, tryOf(writeonce.NewPermit("a@0", 0, uint64(i)).String(), "hold"))
			}
			try := tryOf(writeonce.NewPermit("a@0", 0, 1).String(), "hold")
			for b.Loop() {
				p.Step(0, try)
			}
		})
	}
}
