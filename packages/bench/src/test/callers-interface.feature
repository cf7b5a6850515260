Feature: the caller interface

  Scenario: chat completions, models and health
    Given a whole system with 1 engines, 1 booking services and 1 entries
    Then a chat completion is answered whole and streamed, by the version in force
    And the list of models names every version
    And answers have a request id and a verdict
    And health and readiness are reported
