Feature: parts can be embedded as docs/EMBEDDING.md shows

  Scenario: the upstream plan with an embedder's own engine
    Given an embedder's engine driven by the upstream plan
    When a request for an adapter arrives
    Then the engine loads the adapter and runs the request
