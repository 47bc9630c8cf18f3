package judge

import "fmt"

// QuotaChecker checks the requests that run for each tenant against the tenants' quotas, at each start. A tenant
// may never run more requests than its quota, except urgent requests that use a reserve shared by all tenants.
// It counts starts and ends as the backends see them and knows nothing of leases. A lowered quota applies to
// starts once LoweringGrace has passed; requests that already run are no violation. Times are milliseconds.
type QuotaChecker struct {
	LoweringGrace float64
	Reserve       int // urgent requests of all tenants that may run beyond the quotas

	tenants    map[string]*tenant
	violations []Violation
	count      int
	starts     int
}

type tenant struct {
	running, urgent int
	quotas          []quotaFrom // the latest is last
}

// quotaFrom is a quota in force from a time on.
type quotaFrom struct {
	at    float64
	units int
}

func (s *QuotaChecker) tenant(name string) *tenant {
	if s.tenants == nil {
		s.tenants = map[string]*tenant{}
	}
	t := s.tenants[name]
	if t == nil {
		t = &tenant{}
		s.tenants[name] = t
	}
	return t
}

// SetQuota sets a tenant's quota from a time on. A tenant without a quota is not limited.
func (s *QuotaChecker) SetQuota(at float64, name string, units int) {
	t := s.tenant(name)
	t.quotas = append(t.quotas, quotaFrom{at, units})
}

// maxQuota returns the largest quota in force within LoweringGrace before a time.
func (s *QuotaChecker) maxQuota(at float64, t *tenant) int {
	limit := 0
	for i := len(t.quotas) - 1; i >= 0; i-- {
		if limit = max(limit, t.quotas[i].units); t.quotas[i].at <= at-s.LoweringGrace {
			break
		}
	}
	return limit
}

// HandleStart checks the start of a request of a tenant.
func (s *QuotaChecker) HandleStart(at float64, name string, urgent bool) {
	s.starts++
	t := s.tenant(name)
	t.running++
	if urgent {
		t.urgent++
	}
	if len(t.quotas) == 0 {
		return
	}
	limit := s.maxQuota(at, t)
	if !urgent && t.running-t.urgent > limit {
		s.violate(at, fmt.Sprintf("%d of %s run beside %d urgent ones, its quota is %d", t.running-t.urgent, name, t.urgent, limit))
	}
	if t.running <= limit {
		return
	}
	beyond := 0
	for _, o := range s.tenants {
		if len(o.quotas) > 0 && o.urgent > 0 {
			beyond += min(o.urgent, max(o.running-s.maxQuota(at, o), 0))
		}
	}
	if beyond > s.Reserve {
		s.violate(at, fmt.Sprintf("%d urgent reqs run beyond their tenants' quotas, the reserve is %d", beyond, s.Reserve))
	}
}

// HandleEnd counts the end of a request of a tenant.
func (s *QuotaChecker) HandleEnd(name string, urgent bool) {
	t := s.tenant(name)
	t.running--
	if urgent {
		t.urgent--
	}
}

func (s *QuotaChecker) violate(at float64, message string) {
	if s.count++; len(s.violations) < 100 {
		s.violations = append(s.violations, Violation{Rule: "quota", At: at, Event: s.starts, Message: message})
	}
}

// Violations returns the first hundred violations; Count counts all.
func (s *QuotaChecker) Violations() []Violation { return s.violations }

// Count returns the number of violations.
func (s *QuotaChecker) Count() int { return s.count }
