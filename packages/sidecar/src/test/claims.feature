Feature: a call with an idempotency key runs once, whichever sidecars receive it
  Guards against a repeated call that runs twice, such as a booking that a caller repeats with the same key.
  It happens when two sidecars each believe that they hold the key, since the reply to a write was lost, a write took
  effect late, the key-value service was down, or a sidecar was paused or restarted.

  Scenario: any interleaving of sidecars and faults
    Given three sidecars that claim the same key while calls to the key-value service are lost, late or refused
    Then at most one of them may run the call

  Scenario: the reply to the claim is lost
    Given a sidecar whose claim was stored but not confirmed
    Then it finds its own claim and may run the call

  Scenario: the key-value service is down
    Given a sidecar that can't reach the key-value service
    Then the call is refused as not run and the key is free once the key-value service is back

  Scenario: a claim that took effect after its caller was refused
    Given a claim whose write is still in flight when the call is refused
    When the write takes effect later
    Then the sidecar removes the claim and another sidecar can run the call

  Scenario: a repeat after the first attempt ended
    Given a call that ran and was answered through one sidecar
    Then a repeat through another sidecar gets the same answer

  Scenario: a repeat after the first sidecar restarted during the call
    Given a call that one sidecar began before it restarted
    Then a repeat at this sidecar does not run, since the outcome is unknown

  Scenario: a removal that arrives late
    Given a released claim whose removal is still in flight
    When another sidecar claims the key and then the removal takes effect
    Then the other sidecar's claim is still stored

  Scenario: one key for two different calls
    Given a call that ran and was answered through one sidecar
    Then a different call with its key is refused
