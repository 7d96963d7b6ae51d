package roster

// maxIncarnations bounds the servers that an incarnations value holds: several times the servers of a
// large deployment.
const maxIncarnations = 1 << 15

// mark identifies an announcement of one incarnation of a server.
type mark struct{ incarnation, sequence int64 }

// incarnations holds marks by server ID. Beyond maxIncarnations it discards the marks that were set
// first.
type incarnations struct {
	marks map[string]numberedMark
	// order holds the marks in the order in which they were set, including those that were replaced
	// or removed since.
	order []setMark
	sets  int
}

type numberedMark struct {
	mark
	number int
}

type setMark struct {
	id     string
	number int
}

func newIncarnations() *incarnations { return &incarnations{marks: make(map[string]numberedMark)} }

func (i *incarnations) get(id string) (mark, bool) {
	m, ok := i.marks[id]
	return m.mark, ok
}

func (i *incarnations) set(id string, m mark) {
	i.sets++
	i.marks[id] = numberedMark{m, i.sets}
	i.order = append(i.order, setMark{id, i.sets})
	for len(i.order) > maxIncarnations {
		if first := i.order[0]; i.marks[first.id].number == first.number {
			delete(i.marks, first.id)
		}
		i.order = i.order[1:]
	}
}

func (i *incarnations) remove(id string) { delete(i.marks, id) }
