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
		list := Update{Full: true}
		for i := range n {
			node := Node{Name: fmt.Sprint("node-", i), Addr: fmt.Sprint("10.0.0.1:", i), Zone: "z", Cell: i % 20}
			list.Nodes = append(list.Nodes, node)
		}
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			table := NewTable(Policy{}, sourceInfos("s")...)
			table.Report(0, "s", list, startOffset)
			b.ReportAllocs()
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += sec
				one := list.Nodes[i%n]
				one.State = decision.BackendState(i / n % 2)
				table.Report(now, "s", Update{Nodes: []Node{one}}, startOffset)
			}
		})
		b.Run(fmt.Sprintf("whole/%d", n), func(b *testing.B) {
			table := NewTable(Policy{}, sourceInfos("s")...)
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += sec
				table.Report(now, "s", list, startOffset)
			}
		})
	}
}

// BenchmarkServices measures a table of twenty services of one catalog, each a source: the cost of one
// change, alone and as the full update of its service (as a catalog reports it), and the memory of a node.
func BenchmarkServices(b *testing.B) {
	const services = 20
	for _, n := range []int{100, 1000, 10_000} {
		var names []string
		lists := make([]Update, services)
		for s := range services {
			names = append(names, fmt.Sprint("consul:service-", s))
			lists[s].Full = true
		}
		for i := range n {
			l := &lists[i%services]
			l.Nodes = append(l.Nodes, Node{
				Name:   fmt.Sprint("node-", i, "/instance"),
				Addr:   fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
				Zone:   "z",
				Cell:   i % 50,
				Weight: 1,
			})
		}
		fill := func() *Table {
			table := NewTable(Policy{}, sourceInfos(names...)...)
			for s := range lists {
				table.Report(0, names[s], lists[s], startOffset)
			}
			return table
		}
		turn := func(i int) (int, Node) {
			s := i % services
			node := lists[s].Nodes[i/services%len(lists[s].Nodes)]
			node.Weight = float64(2 + i%2)
			return s, node
		}
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			table := fill()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s, node := turn(i)
				table.Report(time.Duration(i), names[s], Update{Nodes: []Node{node}}, startOffset)
			}
		})
		b.Run(fmt.Sprintf("service/%d", n), func(b *testing.B) {
			table := fill()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s, node := turn(i)
				l := Update{Full: true, Nodes: slices.Clone(lists[s].Nodes)}
				l.Nodes[i/services%len(l.Nodes)] = node
				table.Report(time.Duration(i), names[s], l, startOffset)
			}
		})
		b.Run(fmt.Sprintf("all/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := fill()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				fill()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/node")
			if table.Len() != n {
				b.Fatal(table.Len())
			}
		})
	}
}
