package tables

import "github.com/fescuehub/fescuehub/pkg/strictjson"

// Document is the file that an operator edits. It holds both tables.
type Document struct {
	Routes []Route `json:"routes"`
	Pools  []Pool  `json:"pools"`
}

// Parse decodes a document and returns every fault in it.
func Parse(data []byte) (Document, []strictjson.Fault) {
	var doc Document
	if faults := strictjson.Decode(data, &doc); len(faults) > 0 {
		return Document{}, faults
	}
	return doc, Check(doc)
}

// Check returns every fault of a document, including references to missing
// pools.
func Check(doc Document) []strictjson.Fault {
	var faults []strictjson.Fault
	pools := make(map[string]bool, len(doc.Pools))
	for _, p := range doc.Pools {
		if pools[p.Name] {
			faults = append(faults, listedTwice("pools."+p.Name))
		}
		pools[p.Name] = true
		faults = append(faults, CheckPool(p)...)
	}
	routes := make(map[string]bool, len(doc.Routes))
	for _, r := range doc.Routes {
		if routes[r.Name] {
			faults = append(faults, listedTwice("routes."+r.Name))
		}
		routes[r.Name] = true
		faults = append(faults, CheckRoute(r)...)
		if r.Pool != "" && !pools[r.Pool] {
			faults = append(faults, MissingPool(r))
		}
	}
	return faults
}

func listedTwice(place string) strictjson.Fault {
	return strictjson.Fault{Place: place, Detail: "the name is listed twice", Remedy: "keep one of the two entries"}
}
