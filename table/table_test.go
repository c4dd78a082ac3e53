package table

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const propertySeed = 20261204

// Guards against a late event that carries the ID of a deleted row and is
// applied to the row that reuses its slot.
func TestDeletedIDNeverMatchesLaterRow(t *testing.T) {
	var rows Table[string]
	old := rows.Insert("first")
	rows.Delete(old)
	reused := rows.Insert("second")
	if old == reused || rows.Get(old) != nil {
		t.Fatalf("deleted ID %v still resolves after slot reuse by %v", old, reused)
	}
	if got := rows.Get(reused); got == nil || *got != "second" {
		t.Fatalf("Get(%v) = %v, want second", reused, got)
	}
}

// Guards against the zero ID, which other rows store for "none", resolving to a
// row.
func TestZeroIDIdentifiesNoRow(t *testing.T) {
	var rows Table[int]
	rows.Insert(1)
	if rows.Get(0) != nil || rows.Delete(0) {
		t.Fatal("zero ID resolves to a row")
	}
}

// Guards against inserted rows that are lost, and deleted rows that reappear,
// for random sequences of inserts and deletes.
func TestTableMatchesMap(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	properties := gopter.NewProperties(params)
	properties.Property("table agrees with a map", prop.ForAll(func(operations []int) bool {
		var rows Table[int]
		want := map[ID]int{}
		var ids []ID
		for _, op := range operations {
			if op%3 != 0 || len(ids) == 0 {
				id := rows.Insert(op)
				want[id] = op
				ids = append(ids, id)
				continue
			}
			id := ids[op%len(ids)]
			_, existed := want[id]
			if rows.Delete(id) != existed {
				return false
			}
			delete(want, id)
		}
		return agrees(&rows, want)
	}, gen.SliceOf(gen.IntRange(0, 1000))))
	properties.TestingRun(t)
}

func agrees(rows *Table[int], want map[ID]int) bool {
	seen := 0
	for id, row := range rows.All() {
		if value, ok := want[id]; !ok || value != *row {
			return false
		}
		seen++
	}
	return seen == len(want) && rows.Len() == len(want)
}

// Guards against an index that keeps removed IDs or loses the insertion order.
func TestMultiIndexKeepsInsertionOrder(t *testing.T) {
	var index MultiIndex[string]
	for id := ID(1); id <= 4; id++ {
		index.Add("pool", id)
	}
	index.Remove("pool", 2)
	index.Remove("pool", 9)
	got := index.Get("pool")
	want := []ID{1, 3, 4}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("Get = %v, want %v", got, want)
		}
	}
}
