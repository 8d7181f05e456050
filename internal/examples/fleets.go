package examples

import "nutmeglane.example/nutmeglane/internal/api"

// Memory of a loaded replica in MiB, by model size.
const (
	small  = 6 << 10
	medium = 14 << 10
	large  = 28 << 10
)

// helvarin is a deployment that writes move-in and move-out reports in five
// languages. Inspectors wait on site for the answers, so the cost of cold starts
// matters more.
func helvarin() fleet {
	return fleet{
		title: "Helvarin Immobilien Services AG, Abnahmeprotokolle division",
		tasks: []task{
			{"defect-line", medium, api.PriorityInteractive},
			{"room-note", small, api.PriorityInteractive},
			{"photo-caption", small, api.PriorityInteractive},
			{"meter-reading", small, api.PriorityInteractive},
			{"key-receipt", small, api.PriorityInteractive},
			{"cleaning-check", small, api.PriorityInteractive},
			{"tenant-question", medium, api.PriorityInteractive},
			{"handover-protocol", large, api.PriorityBatch},
			{"cost-estimate", medium, api.PriorityBatch},
			{"deposit-letter", medium, api.PriorityBatch},
			{"inventory-merge", large, api.PriorityBatch},
			{"wear-assessment", medium, api.PriorityBatch},
			{"translation", medium, api.PriorityBatch},
		},
		variants: []string{"de", "fr", "it", "en", "rm"},
		places: []string{
			"bern", "biel", "thun", "koeniz", "burgdorf", "langenthal", "olten", "solothurn", "grenchen",
			"aarau", "baden", "brugg", "zofingen", "lenzburg", "basel", "liestal", "luzern", "emmen",
			"kriens", "zug", "fribourg", "murten", "neuchatel", "lugano", "chur",
		},
		uses: []int{0, 6, 7},
		services: []api.Resource{
			resource(api.KindService, "akte", &api.ServiceSpec{
				IdempotentMethods:  []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"},
				NonIdempotentPaths: []string{"/invoices", "/bookings"},
				MaxConcurrent:      api.DefaultServiceConcurrent,
			}),
		},
		accounts: []account{{"helvarin", 100}, {"verwaltung-aare", 5}, {"regie-sarine", 3}},
		prices:   api.DeploymentSpec{ColdStartPrice: 0.18, IdleHourPrice: 20, StoreLoadsPerSecond: 5, StoreLanes: 4},
	}
}

// agence is a deployment that answers clubs and festivals in five languages. Its
// budget is small, so the cost of idle accelerator hours matters more.
func agence() fleet {
	return fleet{
		title: "Agence Nationale des Clubs de Cerf-Volant du Senegal",
		tasks: []task{
			{"rule-answer", medium, api.PriorityInteractive},
			{"wind-advisory", small, api.PriorityInteractive},
			{"marshal-briefing", small, api.PriorityInteractive},
			{"beach-calendar", small, api.PriorityInteractive},
			{"parent-question", medium, api.PriorityInteractive},
			{"line-tangle", small, api.PriorityInteractive},
			{"crowd-notice", small, api.PriorityInteractive},
			{"permit-letter", medium, api.PriorityBatch},
			{"club-roll", small, api.PriorityBatch},
			{"festival-programme", large, api.PriorityBatch},
			{"incident-report", medium, api.PriorityBatch},
			{"judging-notes", medium, api.PriorityBatch},
			{"press-note", medium, api.PriorityBatch},
		},
		variants: []string{"fr", "wo", "ff", "srr", "en"},
		places: []string{
			"yoff", "plateau", "ngor", "ouakam", "almadies", "medina", "parcelles", "pikine", "guediawaye",
			"rufisque", "bargny", "toubab-dialaw", "popenguine", "somone", "saly", "mbour", "joal",
			"palmarin", "kayar", "mboro", "lompoul", "saint-louis", "thies", "ziguinchor", "cap-skirring",
		},
		uses: []int{0, 1, 7},
		services: []api.Resource{
			resource(api.KindService, "club-registry", &api.ServiceSpec{
				IdempotentMethods:  []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"},
				NonIdempotentPaths: []string{"/registrations", "/charges"},
				MaxConcurrent:      api.DefaultServiceConcurrent,
			}),
		},
		accounts: []account{{"agence", 20}, {"festival-yoff", 5}, {"ligue-saint-louis", 2}},
		prices:   api.DeploymentSpec{ColdStartPrice: 0.45, IdleHourPrice: 60, StoreLoadsPerSecond: 10, StoreLanes: 4},
	}
}
