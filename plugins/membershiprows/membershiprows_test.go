package membershiprows

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

func TestMembershipRows(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership.rows")
}

func nodeRow(i int, revision uint64) replica.Row {
	m := mesh.Member{Node: mesh.NodeID(fmt.Sprintf("m%03d", i)), PeerAddress: "10.0.0.1:1"}
	content, err := cbor.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	return replica.Row{Table: port.NodeTable, Key: port.NodeRowPrefix + string(m.Node), Value: content, Revision: revision}
}

var _ = Describe("the view of the nodes", func() {
	// Without the limit the start of n nodes logs n² lines.
	It("logs many new nodes in one line, and a few in one line each", func() {
		var out bytes.Buffer
		logger := kernel.NewLogger(&out)
		d := &duty{
			dutyIn:  dutyIn{Rows: new(port.RowsCell), View: new(port.ViewCell), Logger: logger},
			self:    mesh.Member{Node: "self"},
			decoded: map[string]entry{},
		}
		var rows []replica.Row
		for i := range 100 {
			rows = append(rows, nodeRow(i, uint64(i+1)))
		}
		set := replica.New().ApplyListing(port.NodeTable, rows, 100)
		d.Rows.Store(set)
		d.publish()
		Expect(d.View.Load().Members).To(HaveLen(101))
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		Expect(out.String()).To(ContainSubstring(`"nodes":100`))

		out.Reset()
		rows = append(rows, nodeRow(100, 101), nodeRow(101, 102))
		d.Rows.Store(replica.New().ApplyListing(port.NodeTable, rows, 102))
		d.publish()
		Expect(strings.Count(out.String(), `"node known"`)).To(Equal(2))
		Expect(out.String()).To(And(ContainSubstring(`"revision":101`), ContainSubstring(`"revision":102`)), "the revisions of the rows")
		Expect(strings.Count(out.String(), "\n")).To(Equal(2))
	})

	It("ignores invalid rows", func() {
		d := &duty{
			dutyIn:  dutyIn{Rows: new(port.RowsCell), View: new(port.ViewCell), Logger: kernel.NewLogger(new(bytes.Buffer))},
			self:    mesh.Member{Node: "self"},
			decoded: map[string]entry{},
		}
		broken := nodeRow(1, 1)
		broken.Value = []byte("?")
		renamed := nodeRow(2, 2)
		renamed.Key = port.NodeRowPrefix + "other"
		d.Rows.Store(replica.New().ApplyListing(port.NodeTable, []replica.Row{broken, renamed, nodeRow(3, 3)}, 3))
		d.publish()
		Expect(d.View.Load().Members).To(HaveLen(2))
	})
})
