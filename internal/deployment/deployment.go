// Package deployment describes the two existing deployments that rehearsals run: their zones,
// machines, tenants and kinds of requests.
package deployment

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is a kind of request.
type Kind struct {
	Name  string
	Class string
	// Share is the kind's fraction of the generation requests or of the application calls.
	Share float64
	// Documents is the number of shared texts, such as catalog sections, and DocumentTokens the
	// length of each.
	Documents      int
	DocumentTokens int
	// ContextTokens is the length of the tenant's own context, which follows the document, and
	// QuestionTokens that of the question after it.
	ContextTokens  int
	QuestionTokens int
	OutputTokens   int
	// Route is set for application calls.
	Route string
	// Retryable reports whether an application call may run more than once.
	Retryable bool
}

// Tenant is a customer of the deployment.
type Tenant struct {
	Name string
	// Share is the tenant's fraction of the traffic.
	Share float64
}

// Class is a priority class.
type Class struct {
	Name       string
	Priority   int
	FirstToken time.Duration
}

// Deployment describes a deployment.
type Deployment struct {
	Name    string
	Region  string
	Zones   []string
	Engines int
	Workers int
	Routers int
	Model   string
	Tenants []Tenant
	Classes []Class
	// Generation and Application list the kinds of requests.
	Generation  []Kind
	Application []Kind
	// Rate is the steady rate of generation requests per second and engine, and ApplicationRate
	// that of application calls per second and worker.
	Rate            float64
	ApplicationRate float64
	// Surge is the factor for the rates during an event.
	Surge float64
}

// Names returns the names of the deployments.
func Names() []string { return []string{"grocery", "pago"} }

// Find returns a deployment by name.
func Find(name string) (Deployment, error) {
	switch name {
	case "grocery":
		return grocery(), nil
	case "pago":
		return pago(), nil
	}
	return Deployment{}, errors.Newf("unknown deployment %q; known are %v", name, Names())
}

func grocery() Deployment {
	return Deployment{
		Name: "grocery", Region: "gulf-south", Zones: []string{"gulf-south-a", "gulf-south-b", "gulf-south-c"},
		Engines: 12, Workers: 3, Routers: 6, Model: "pick-small", Tenants: tenants("partner", 8),
		Classes: []Class{
			{Name: "picker", Priority: 100, FirstToken: 1400 * time.Millisecond},
			{Name: "shopper", Priority: 50, FirstToken: 3 * time.Second},
			{Name: "background", Priority: 0, FirstToken: 10 * time.Second},
		},
		Generation: []Kind{
			{Name: "substitution", Class: "picker", Share: 0.6, Documents: 24, DocumentTokens: 6016, ContextTokens: 1472, QuestionTokens: 150, OutputTokens: 20},
			{Name: "order-chat", Class: "shopper", Share: 0.4, Documents: 8, DocumentTokens: 2048, ContextTokens: 1024, QuestionTokens: 200, OutputTokens: 60},
		},
		Application: []Kind{
			{Name: "slot-lookup", Share: 0.7, Route: "/slots", Retryable: true},
			{Name: "cart-sync", Share: 0.2, Route: "/carts", Retryable: true},
			{Name: "charge", Share: 0.1, Route: "/charges"},
		},
		Rate: 8, ApplicationRate: 6, Surge: 3,
	}
}

func pago() Deployment {
	return Deployment{
		Name: "pago", Region: "gt-central", Zones: []string{"gt-central-a", "gt-central-b", "gt-central-c", "gt-central-d"},
		Engines: 18, Workers: 4, Routers: 8, Model: "reglas-small", Tenants: tenants("acquirer", 8),
		Classes: []Class{
			{Name: "counter", Priority: 100, FirstToken: 1400 * time.Millisecond},
			{Name: "dispute", Priority: 50, FirstToken: 3 * time.Second},
			{Name: "background", Priority: 0, FirstToken: 10 * time.Second},
		},
		Generation: []Kind{
			{Name: "dispute", Class: "dispute", Share: 0.5, Documents: 16, DocumentTokens: 8000, ContextTokens: 1024, QuestionTokens: 180, OutputTokens: 60},
			{Name: "shopkeeper", Class: "counter", Share: 0.5, Documents: 16, DocumentTokens: 3008, ContextTokens: 512, QuestionTokens: 120, OutputTokens: 40},
		},
		Application: []Kind{
			{Name: "authorization", Share: 0.6, Route: "/authorizations"},
			{Name: "settlement", Share: 0.4, Route: "/settlements", Retryable: true},
		},
		Rate: 7, ApplicationRate: 6, Surge: 3,
	}
}

// tenants returns n tenants whose shares follow a Zipf distribution.
func tenants(prefix string, n int) []Tenant {
	out := make([]Tenant, n)
	total := 0.0
	for i := range out {
		share := 1 / float64(i+1)
		out[i] = Tenant{Name: fmt.Sprintf("%s-%d", prefix, i+1), Share: share}
		total += share
	}
	for i := range out {
		out[i].Share /= total
	}
	return out
}

// Key returns the API key of a tenant in rehearsals.
func Key(tenant string) string { return "rehearsal-key-of-" + tenant }

// Scale returns the deployment with other numbers of engines, routers and tenants, at the same
// rate per engine. A number of 0 or less keeps the present one.
func (d Deployment) Scale(engines, routers, tenantCount int) Deployment {
	if engines > 0 {
		d.Engines = engines
	}
	if routers > 0 {
		d.Routers = routers
	}
	if tenantCount > 0 {
		d.Tenants = tenants("tenant", tenantCount)
	}
	return d
}

// Zone returns the zone of a machine by its number.
func (d Deployment) Zone(number int) string { return d.Zones[number%len(d.Zones)] }

// Class returns a class by name.
func (d Deployment) Class(name string) Class {
	for _, class := range d.Classes {
		if class.Name == name {
			return class
		}
	}
	return Class{}
}

// Patience returns the maximum wait of a class: the shortest FirstToken among it and the classes
// of equal or higher priority, which a longer wait would delay.
func (d Deployment) Patience(class Class) time.Duration {
	patience := class.FirstToken
	for _, other := range d.Classes {
		if other.Priority >= class.Priority {
			patience = min(patience, other.FirstToken)
		}
	}
	return patience
}
