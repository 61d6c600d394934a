Feature: A shift never moves more than its cap at once

  Background:
    Given the ARCQ deployment with regions mtl and qc

  Scenario: Half of repair tracking moves from mtl to qc in steps
    Given callers near mtl who have long been asking for suivi
    When the operator moves 50% of suivi from mtl to qc, at most 20% a step
    Then no step moves more than 20% of the callers
    And the intent is complete with 50% served in qc
    And no caller was failed
