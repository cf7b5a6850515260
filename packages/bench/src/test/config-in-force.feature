Feature: an accepted configuration is in force everywhere within seconds and never reverts

  Scenario: a change reaches every process
    Given a whole system with 2 engines, 2 booking services and 2 entries
    When the operators apply a change
    Then it is in force everywhere within 1000 ms

  Scenario: reads from an old copy
    Symptom: a drained host gets new requests for some seconds.
    Events: the key-value service answers reads from an old copy.
    Cause: the last document read takes precedence over the newest one.
    Given a whole system with 1 engines, 1 booking services and 2 entries
    And an old copy of the key-value service is kept
    When the operators apply a change
    Then it is in force everywhere within 1000 ms
    When the key-value service answers from the old copy
    Then no process goes back to an older revision

  Scenario: a store restored from an old copy
    Symptom: processes that start after the restore follow a configuration that was replaced.
    Events: the store is restored from a backup that lacks the newest revision.
    Cause: only the processes still have the newest revision.
    Given a whole system with 1 engines, 1 booking services and 2 entries
    And an old copy of the key-value service is kept
    When the operators apply a change
    Then it is in force everywhere within 1000 ms
    When the key-value service is restored from the old copy
    Then the store has the newest revision again
    And no process goes back to an older revision

  Scenario: a process that starts during an outage
    Symptom: a replaced entry serves no caller until the key-value service is back.
    Events: an entry starts while the service is down.
    Cause: the configuration is available from the key-value service alone.
    Given a whole system with 1 engines, 1 booking services and 1 entries
    And the key-value service is down
    When another entry starts
    Then it gets the configuration from its peers and answers requests

  Scenario: a process that offers an old document
    Symptom: a change is undone when a paused process resumes.
    Events: a sidecar resumes with an old document and sends it to its entries.
    Cause: a document is accepted without comparing revisions.
    Given a whole system with 1 engines, 1 booking services and 1 entries
    When the operators apply a change
    And a peer sends the first revision to every process
    Then no process goes back to an older revision

  Scenario: a damaged document
    Given a whole system with 1 engines, 1 booking services and 1 entries
    When a document with a text that does not match its digest is stored
    Then no process goes back to an older revision
    And the next change is in force everywhere

  Scenario: a sidecar that starts during an outage
    Symptom: requests wait at a sidecar that can't load adapters, while others could answer.
    Events: a sidecar of a model engine starts while the key-value service is down.
    Cause: the sidecar reports that it serves before it has a fencing number.
    Given a whole system with 2 engines, 1 booking services and 1 entries
    And the key-value service is down
    When the sidecar of "m0" is replaced
    Then it stays cold and requests are answered by "m1"
    When the key-value service is back
    Then the sidecar of "m0" serves again

  Scenario: watches of the key-value service hang
    Symptom: an accepted change is in force nowhere for half a minute, though the service has long recovered.
    Events: calls of the service hang for a moment, just as all entries' watches end and are sent again; then a change is applied.
    Cause: a hanging watch is noticed only by its own timeout, which is longer than a change may take.
    Otherwise an entry can still be at the previous revision 15 s after calls have stopped hanging.
    Given a whole system with 1 engines, 1 booking services and 2 entries
    When the next watches of all entries hang at the key-value service
    And the operators apply a change
    Then it is in force everywhere within 9000 ms
