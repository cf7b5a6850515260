Feature: a keyed booking runs once, whichever sidecars get it
  Symptom: the nurse repeats with the same key and two chairs are booked.
  Events: a write's reply is lost, a write takes effect late, the key-value service is down, a sidecar is paused or restarts.
  Cause: two sidecars each believed that the key was theirs.

  Scenario: any interleaving of sidecars and faults
    Given three sidecars that claim the same key while calls are lost, late or refused
    Then at most one of them may run the call

  Scenario: the reply to the claim is lost
    Given a sidecar whose claim was stored but not confirmed
    Then it finds its own claim and may run the call

  Scenario: the service is down
    Given a sidecar that can't reach the key-value service
    Then the call is refused as not run and the key is free once the service is back

  Scenario: a claim that took effect after its caller was told that it did not run
    Given a claim that is still on its way when the call is refused
    When it takes effect later
    Then the sidecar removes it and another sidecar can run the call

  Scenario: a repeat after the first attempt ended
    Given a call that ran and was answered through one sidecar
    Then a repeat through another sidecar gets the same answer

  Scenario: a repeat after the first sidecar restarted in the middle
    Given a call that one sidecar began before it restarted
    Then a repeat there is told that the outcome is unknown and does not run

  Scenario: a removal that arrives late
    Given a released claim whose removal is still on its way
    When another sidecar claims the key and then the removal arrives
    Then the other sidecar's claim still stands

  Scenario: one key for two different calls
    Given a call that ran and was answered through one sidecar
    Then a different call with its key is refused
