Feature: entries learn which engine has loaded an adapter

  Scenario: an adapter is loaded and unloaded between two of its engine's records
    Symptom: a third of the fetches from the weight store are for adapters that another engine has a copy of.
    Events: an adapter is loaded, used for half a second and unloaded; a second later it is requested through another entry.
    Cause: entries learn of loads from the engine's record in the store alone, which is written once a second.
    Then an entry that asks often enough receives every load once, however requests and loads interleave
    And an entry that last asked a former holder of the engine receives what the next holder has loaded
