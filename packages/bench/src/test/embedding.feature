Feature: parts can be embedded as docs/EMBEDDING.md shows

  Scenario: the plan over an engine of one's own
    Given an embedder's engine with the plan over it
    When a request for an adapter arrives
    Then the engine loads the adapter and runs the request
