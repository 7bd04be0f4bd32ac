package membership

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pumicecroft/decision"
)

func BenchmarkTable(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		update := Update{Full: true}
		for i := range n {
			node := Node{Name: fmt.Sprint("node-", i), Addr: fmt.Sprint("10.0.0.1:", i), Zone: "z", Cell: i % 20}
			update.Nodes = append(update.Nodes, node)
		}
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			table := NewTable(Policy{}, sourceInfos("s")...)
			table.Report(0, "s", update, startOffset)
			b.ReportAllocs()
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += sec
				changed := update.Nodes[i%n]
				changed.State = decision.BackendState(i / n % 2)
				table.Report(now, "s", Update{Nodes: []Node{changed}}, startOffset)
			}
		})
		b.Run(fmt.Sprintf("full/%d", n), func(b *testing.B) {
			table := NewTable(Policy{}, sourceInfos("s")...)
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += sec
				table.Report(now, "s", update, startOffset)
			}
		})
	}
}

// BenchmarkServices measures a table of twenty services of one catalog, each with its own source: the cost of one
// change, reported alone and in a full update of its service (as a catalog does), and the memory for each node.
func BenchmarkServices(b *testing.B) {
	const services = 20
	for _, n := range []int{100, 1000, 10_000} {
		var names []string
		updates := make([]Update, services)
		for s := range services {
			names = append(names, fmt.Sprint("consul:service-", s))
			updates[s].Full = true
		}
		for i := range n {
			update := &updates[i%services]
			update.Nodes = append(update.Nodes, Node{
				Name:   fmt.Sprint("node-", i, "/instance"),
				Addr:   fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
				Zone:   "z",
				Cell:   i % 50,
				Weight: 1,
			})
		}
		newFilledTable := func() *Table {
			table := NewTable(Policy{}, sourceInfos(names...)...)
			for s := range updates {
				table.Report(0, names[s], updates[s], startOffset)
			}
			return table
		}
		changedNode := func(i int) (int, Node) {
			s := i % services
			node := updates[s].Nodes[i/services%len(updates[s].Nodes)]
			node.Weight = float64(2 + i%2)
			return s, node
		}
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			table := newFilledTable()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s, node := changedNode(i)
				table.Report(time.Duration(i), names[s], Update{Nodes: []Node{node}}, startOffset)
			}
		})
		b.Run(fmt.Sprintf("service/%d", n), func(b *testing.B) {
			table := newFilledTable()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s, node := changedNode(i)
				update := Update{Full: true, Nodes: slices.Clone(updates[s].Nodes)}
				update.Nodes[i/services%len(update.Nodes)] = node
				table.Report(time.Duration(i), names[s], update, startOffset)
			}
		})
		b.Run(fmt.Sprintf("all/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := newFilledTable()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				newFilledTable()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/node")
			if table.Len() != n {
				b.Fatalf("%d nodes, want %d", table.Len(), n)
			}
		})
	}
}
