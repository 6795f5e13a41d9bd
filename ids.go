package plank

// This file defines the identifiers of the domain.

// A WorkspaceID names a tenant.
type WorkspaceID string

// An AdapterID names a LoRA adapter without its version.
type AdapterID string

// A Version names one published version of an adapter.
type Version string

// An EndpointID names a back end: a model engine or a replica of a plain service.
type EndpointID string

// A VMID names one entry VM. The replacement of a VM has another VMID.
type VMID string

// A BootID names one run of a process. It is unique among all runs.
type BootID string

// A DomainID names a failure domain.
type DomainID string

// A KeyID names a caller's API key without revealing it.
type KeyID string

// A NoteID is the name that an operator gave to a release note.
type NoteID string

// A NoteNumber is the position of a release note in the chain. The first note
// has number 1; 0 stands for the empty chain.
type NoteNumber uint64

// A RequestID names one caller's request within the system.
type RequestID string

// A ServiceID names a plain service, which may have several endpoints.
type ServiceID string

// A WriteToken is a value that a writer attaches to a write, so that it can
// recognise its own write if the answer was lost.
type WriteToken string

// A PartID names a part of a prompt that requests share, such as a document.
type PartID string
