Feature: only the newest sidecar orders an engine
  Symptom: an adapter disappears under requests of the sidecar that is in charge.
  Events: a sidecar is paused for longer than its lease, a successor takes over, the first wakes up and orders an unload.
  Cause: the holder trusted a check that it made before the pause.

  Scenario: a holder that was paused
    Given a sidecar that holds a number and a successor that takes the next one
    Then the first is told that it is superseded once its check has run out

  Scenario: numbers are never used twice, also when replies are lost
    Given any sidecars that take numbers while replies to writes are lost
    Then no two of them hold the same number

  Scenario: the key-value service is down
    Given a sidecar that holds a number when the service goes down
    Then it goes on with unverified orders and loses none of its adapters
