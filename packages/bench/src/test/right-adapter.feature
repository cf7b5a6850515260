Feature: each request runs on the adapter and the version it asked for

  Scenario Outline: the engine answers for another adapter
    Symptom: a family reads a reply that was written for another club.
    Events: the engine loses the adapter and falls back to another one.
    Cause: the answer was passed on without reading which adapter gave it.
    Given a system with 1 engine of 2 slots and 4 places
    And the engine's next 9 answers claim another adapter
    When 5 tokens of "a@1" are asked for, <how>
    Then the caller is told "may-have-run" with status 502 and code "wrong-adapter"

    Examples:
      | how      |
      | streamed |
      | whole    |

  Scenario: one answer for another adapter is made good by a retry
    Given a system with 2 engines of 2 slots and 4 places
    And the engine's next 1 answers claim another adapter
    When 5 tokens of "a@1" are asked for, streamed
    Then the answer is all 5 tokens of "a@1"

  Scenario: the version changes while a request runs
    Symptom: the end of an agreement is written by another version than its beginning.
    Events: an operator changes the version while answers are under way.
    Cause: the version was looked up again in the middle.
    Given a system with 1 slow engine of 2 slots and 4 places
    When a caller begins to read 40 tokens of "a"
    And the engine runs 1 request
    And the operators put version "3" of "a" in force
    And 5 tokens of "a" are asked for, streamed
    Then the answer is all 5 tokens of "a@3"
    And the caller that began gets all 40 tokens of "a@2"

  Scenario: an engine restarts cold
    Symptom: the first requests after a restart fail or run on the base model.
    Events: the engine loses all adapters; the sidecar still shows them as loaded.
    Cause: the sidecar trusted what it had loaded before.
    Given a system with 1 engine of 2 slots and 4 places
    When 5 tokens of "a@1" are asked for, streamed
    And the engine restarts
    And 5 tokens of "a@1" are asked for, streamed
    Then the answer is all 5 tokens of "a@1"
    And the engine loaded 2 times

  Scenario Outline: a sidecar that was replaced wakes up and gives orders
    Symptom: an adapter vanishes under the requests of the sidecar in charge.
    Events: a sidecar pauses, its successor takes over the engine, the first one wakes up and unloads what it had loaded.
    Cause: the successor served from a name that the first one could still unload.
    Given a system with an engine that <kind> fencing numbers
    When 5 tokens of "a@1" are asked for, streamed
    And a successor takes over the engine
    And 5 tokens of "a@1" are asked for, streamed
    And the replaced sidecar unloads "a@1"
    Then its order is <outcome>
    When 5 tokens of "a@1" are asked for, streamed
    Then the answer is all 5 tokens of "a@1"
    And the engine loaded <loads> times

    Examples:
      | kind    | outcome         | loads |
      | ignores | for a lost name | 2     |
      | checks  | refused         | 1     |
