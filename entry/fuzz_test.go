package entry

import (
	"testing"

	"github.com/waxwingbridge/waxwingbridge/ledger"
)

// Guards against a record, which any writer of the store may have left, that ends the
// process, and against one that changes when it is written again.
func FuzzRecord(f *testing.F) {
	for _, name := range []string{"job/j", "progress/j", "cancel/j", "owner/p", "epoch/p", "peer/n", "contacts/p", "machine/m", "move/m", "demand/p", "partitions/pools", "none/x", "job"} {
		for _, seed := range []string{
			``, `null`, `{}`, `[]`, `"x"`, `{"Queue":"q","Pool":"p","Steps":[{"Count":1,"After":[0]}],"AcceptedAt":-9223372036854775808}`,
			`{"Queue":"q","Steps":[{"Count":-1}]}`, `{"State":255,"Finished":[[1,0]],"Stages":[{"Occurrence":-1,"Step":-1,"Done":"////"}]}`,
			`{"Node":"n","Incarnation":"i","Epoch":-1}`, `[{"Worker":"w","Address":"","Incarnation":-4}]`, `{"Need":-3,"Have":2,"Released":[""]}`,
		} {
			f.Add(name, []byte(seed))
		}
	}
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		record, err := recordFromItem(name, value, 1, 1, false)
		if err != nil || record.Content == nil {
			return
		}
		again, err := encodeRecord(ledger.Put{Key: record.Key, Content: record.Content})
		if err != nil {
			return // a decoded record need not be one that this system writes
		}
		if _, err := recordFromItem(name, again.Value, 1, 1, false); err != nil {
			t.Errorf("a record that was decoded is refused when it is written again as %s: %v", again.Value, err)
		}
	})
}
