Feature: only the newest sidecar sends load and unload orders to an engine
  Guards against an adapter that is unloaded while requests of the newest sidecar use it.
  It happens when a sidecar is paused for longer than its lease, a successor takes over, and the first resumes and sends
  an unload order because it relies on a check from before the pause.

  Scenario: a holder that was paused
    Given a sidecar that holds a fencing number and a successor that acquires the next one
    Then the first finds that it is superseded once its check has expired

  Scenario: no number is used twice, even when replies are lost
    Given several sidecars that acquire fencing numbers while replies to writes are lost
    Then no two of them hold the same number

  Scenario: the key-value service is down
    Given a sidecar that holds a fencing number when the key-value service goes down
    Then the sidecar continues with unverified orders, keeps its number and is not superseded
