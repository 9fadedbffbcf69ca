// Package retry decides whether, when and how often failed work is tried again.
package retry
