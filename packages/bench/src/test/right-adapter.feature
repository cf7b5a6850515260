Feature: each request runs on the adapter and the version that it requests

  Scenario Outline: the engine answers for another adapter
    Symptom: a caller gets an answer of another organisation's adapter.
    Events: the engine loses the adapter and falls back to another one.
    Cause: the answer is passed on without checking which adapter produced it.
    Given a system with 1 engine of 2 adapter slots and 4 batch slots
    And the engine's next 9 answers claim another adapter
    When 5 tokens of "a@1" are requested, <how>
    Then the caller gets "may-have-run" with status 502 and code "wrong-adapter"

    Examples:
      | how      |
      | streamed |
      | whole    |

  Scenario: one answer from another adapter is compensated by a retry
    Given a system with 2 engines of 2 adapter slots and 4 batch slots
    And the engine's next 1 answers claim another adapter
    When 5 tokens of "a@1" are requested, streamed
    Then the answer is all 5 tokens of "a@1"

  Scenario: the version changes while a request runs
    Symptom: the end of an answer is produced by another version than its beginning.
    Events: an operator changes the version while answers are streaming.
    Cause: the version is looked up again in the middle.
    Given a system with 1 slow engine of 2 adapter slots and 4 batch slots
    When a caller begins to read 40 tokens of "a"
    And the engine runs 1 request
    And the operators put version "3" of "a" in force
    And 5 tokens of "a" are requested, streamed
    Then the answer is all 5 tokens of "a@3"
    And the caller that began to read gets all 40 tokens of "a@2"

  Scenario: an engine restarts without adapters
    Symptom: the first requests after a restart fail or run on the base model.
    Events: the engine loses all adapters; the sidecar still reports them as loaded.
    Cause: the sidecar does not check that adapters it loaded are still loaded.
    Given a system with 1 engine of 2 adapter slots and 4 batch slots
    When 5 tokens of "a@1" are requested, streamed
    And the engine restarts
    And 5 tokens of "a@1" are requested, streamed
    Then the answer is all 5 tokens of "a@1"
    And the engine loaded 2 times

  Scenario Outline: a replaced sidecar resumes and sends unload orders
    Symptom: an adapter is unloaded while the sidecar in charge runs requests on it.
    Events: a sidecar pauses, its successor takes over the engine, and the first one resumes and unloads what it had loaded.
    Cause: the successor serves from an adapter name that the first one can still unload.
    Given a system with an engine that <kind> fencing numbers
    When 5 tokens of "a@1" are requested, streamed
    And a successor takes over the engine
    And 5 tokens of "a@1" are requested, streamed
    And the replaced sidecar unloads "a@1"
    Then its unload order <outcome>
    When 5 tokens of "a@1" are requested, streamed
    Then the answer is all 5 tokens of "a@1"
    And the engine loaded <loads> times

    Examples:
      | kind    | outcome                               | loads |
      | ignores | names an adapter that is not loaded   | 2     |
      | checks  | is refused                            | 1     |
